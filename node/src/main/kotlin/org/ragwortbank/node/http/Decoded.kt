package org.ragwortbank.node.http

import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.result.Refusal

/** What an HTTP request turned out to be. */
internal sealed interface Decoded {
    /** Work for an upstream. */
    data class Good(val call: Call) : Decoded

    /** The list of models that [credential] may reach is asked for. */
    data class Models(val credential: KeyHash?) : Decoded

    /** Not acceptable. */
    data class Bad(val refusal: Refusal) : Decoded
}
