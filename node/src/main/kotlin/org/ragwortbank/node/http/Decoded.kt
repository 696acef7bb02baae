package org.ragwortbank.node.http

import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.result.Refusal

/** What an HTTP request turned out to be. */
internal sealed interface Decoded {
    /** Work for an upstream. */
    data class Good(val call: Call) : Decoded

    /** The list of models that [credential] may reach is asked for. */
    data class Models(val credential: KeyHash?) : Decoded

    /** Not acceptable; [credential] tells who asked, and [route] for which route, as far as that can be read. */
    data class Bad(
        val refusal: Refusal,
        val credential: KeyHash? = null,
        val route: RouteName? = null,
    ) : Decoded
}
