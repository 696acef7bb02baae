package org.ragwortbank.node.http

import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.result.Refusal

/** What an HTTP request turned out to be. */
internal sealed interface DecodedRequest {
    /** Work for an upstream. */
    data class UpstreamCall(val call: Call) : DecodedRequest

    /** The list of models that [credential] may reach is asked for. */
    data class ListModels(val credential: KeyHash?) : DecodedRequest

    /** Not acceptable; [credential] tells who asked, and [route] for which route, as far as that can be read. */
    data class Rejected(
        val refusal: Refusal,
        val credential: KeyHash? = null,
        val route: RouteName? = null,
    ) : DecodedRequest
}
