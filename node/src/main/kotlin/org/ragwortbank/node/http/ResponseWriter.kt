package org.ragwortbank.node.http

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.result.Refusal

/** Writes the answer to one call; used by one thread at a time. */
internal interface ResponseWriter {
    /** The answer begins. */
    fun writeHead(head: ResponseHead)

    /** The next piece. */
    fun writeChunk(data: ByteString)

    /** The answer is complete. */
    fun complete()

    /** There is no complete answer. */
    fun writeRefusal(refusal: Refusal)
}
