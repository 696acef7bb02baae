package org.ragwortbank.node.http

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.result.Refusal

/** Writes the answer to one call; used by one thread at a time. */
internal interface AnswerWriter {
    /** The answer begins. */
    fun begin(head: ResponseHead)

    /** The next piece. */
    fun continueWith(data: ByteString)

    /** The answer is complete. */
    fun end()

    /** There is no complete answer. */
    fun refuse(refusal: Refusal)
}
