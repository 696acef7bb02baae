package org.ragwortbank.clients.upstream

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.sidecar.RunFailure

/** Receives the events of one run; [onCompleted] or [onFailed] is the last one. */
interface RunListener {
    /** The head of the response arrived. */
    fun onHead(head: ResponseHead)

    /** A chunk of the response arrived, which counts as [tokens] output tokens. */
    fun onOutput(tokens: Long, data: ByteString)

    /** The response is complete. */
    fun onCompleted(usage: Usage?)

    /** There will be no complete response. */
    fun onFailed(failure: RunFailure)
}
