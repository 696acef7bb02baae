package org.ragwortbank.node.http

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.result.Refusal

/** Writes the response to one call. Used by one thread at a time. */
internal interface ResponseWriter {
    /** Begins the response. */
    fun writeHead(head: ResponseHead)

    /** Writes the next chunk of the body. */
    fun writeChunk(data: ByteString)

    /** Completes the response. */
    fun complete()

    /** Reports [refusal] instead of a response, or after a part of one. */
    fun writeRefusal(refusal: Refusal)
}
