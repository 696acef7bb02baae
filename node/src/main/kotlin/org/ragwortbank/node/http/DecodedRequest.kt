package org.ragwortbank.node.http

import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.result.Refusal

/** Result of decoding an HTTP request. */
internal sealed interface DecodedRequest {
    /** A call to be answered by an upstream. */
    data class UpstreamCall(val call: Call) : DecodedRequest

    /** A request for the list of models that [credential] may use. */
    data class ListModels(val credential: KeyHash?) : DecodedRequest

    /** An unacceptable request; [credential] and [route] are null where the request has none that can be read. */
    data class Rejected(
        val refusal: Refusal,
        val credential: KeyHash? = null,
        val route: RouteName? = null,
    ) : DecodedRequest
}
