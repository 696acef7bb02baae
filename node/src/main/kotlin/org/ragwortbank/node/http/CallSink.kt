package org.ragwortbank.node.http

import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.node.metrics.BadInput

/** Receives the calls that the HTTP front end decodes. */
internal interface CallSink {
    /** The configuration in force. */
    val configuration: Configuration

    /** Returns an ID for the next request. */
    fun nextRequestId(): RequestId

    /** Offers a call whose response goes to [writer]; false if there is no room for it. */
    fun offerCall(call: Call, writer: ResponseWriter): Boolean

    /** Reports that the caller of [request] closed its connection. */
    fun onCallerDisconnected(request: RequestId)

    /** Reports unacceptable input of [kind], which is answered with [refusal]. */
    fun onBadInput(kind: BadInput, refusal: Refusal)
}
