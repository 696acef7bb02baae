package org.ragwortbank.clients.upstream

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.sidecar.RunFailure

/** Hears of one run; after [onCompleted] or [onFailed] nothing follows. */
interface RunListener {
    /** The upstream sent the head of its answer. */
    fun onHead(head: ResponseHead)

    /** The upstream sent a piece of its answer, worth [tokens] output tokens. */
    fun onOutput(tokens: Long, data: ByteString)

    /** The answer is complete. */
    fun onCompleted(usage: Usage?)

    /** The answer will not be complete. */
    fun onFailed(failure: RunFailure)
}
