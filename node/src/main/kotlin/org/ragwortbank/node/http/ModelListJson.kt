package org.ragwortbank.node.http

import kotlinx.serialization.json.Json
import org.ragwortbank.clients.upstream.ModelEntry
import org.ragwortbank.clients.upstream.ModelList
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.KeyHash

/** Lists the adapters that the API key [credential] may use, in the format of the OpenAI model list. */
internal fun modelListJson(configuration: Configuration, credential: KeyHash?): String {
    val account = credential?.let { configuration.keys[it] }?.account
    val names = configuration.routes.values
        .filter { it.adapter != null && (it.allowsAnonymous || account != null && account in it.accounts) }
        .map { it.name.value }
        .sorted()
    return Json.encodeToString(ModelList.serializer(), ModelList(names.map { ModelEntry(it) }))
}
