package org.ragwortbank.node.http

import kotlinx.serialization.json.Json
import org.ragwortbank.clients.upstream.ModelEntry
import org.ragwortbank.clients.upstream.ModelList
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.KeyHash

/** The adapters that the key with [credential] may reach, as the OpenAI-compatible list of models. */
internal fun modelListJson(configuration: Configuration, credential: KeyHash?): String {
    val account = credential?.let { configuration.keys[it] }?.account
    val names = configuration.routes.values
        .filter { it.adapter != null && (it.allowsAnonymous || account != null && account in it.accounts) }
        .map { it.name.value }
        .sorted()
    return Json.encodeToString(ModelList.serializer(), ModelList(names.map { ModelEntry(it) }))
}
