package org.ragwortbank.node.http

import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.node.metrics.BadInput

/** Where the HTTP front end passes its calls. */
internal interface CallSink {
    /** The operators' tables in force. */
    val configuration: Configuration

    /** An identifier for the next call. */
    fun nextRequestId(): RequestId

    /** Takes a call whose answer goes to [writer], and tells whether there was room for it. */
    fun offerCall(call: Call, writer: ResponseWriter): Boolean

    /** The caller of [request] closed its connection. */
    fun onCallerDisconnected(request: RequestId)

    /** Input of [kind] was not acceptable and was answered with [refusal]. */
    fun onBadInput(kind: BadInput, refusal: Refusal)
}
