package org.ragwortbank.clients.http

import io.netty.handler.codec.TooLongFrameException
import java.io.ByteArrayOutputStream

/** Collects a response and passes it on when it is complete; one without an end makes the call fail. */
internal class ResponseCollector(private val done: (HttpReply) -> Unit) : HttpListener {
    private val body = ByteArrayOutputStream()
    private var head: HttpHead? = null
    private var isTooLong = false

    override fun onHead(head: HttpHead) {
        this.head = head
    }

    /** Throws [TooLongFrameException] when the body is longer than any reply may be, which ends the exchange. */
    override fun onContent(bytes: ByteArray) {
        isTooLong = body.size() + bytes.size > MAX_BODY_BYTES
        if (isTooLong) {
            throw TooLongFrameException("more than $MAX_BODY_BYTES bytes in one reply")
        }
        body.writeBytes(bytes)
    }

    override fun onCompleted() {
        val received = head
        when (received) {
            null -> done(HttpReply.Failed(wasConnected = true, "the response had no head"))
            else -> done(HttpReply.Answered(received, body.toByteArray()))
        }
    }

    override fun onFailure(wasConnected: Boolean, cause: String) =
        done(HttpReply.Failed(wasConnected, cause, isTooLong))

    private companion object {
        /** Several values of the largest size that the key-value service stores. */
        const val MAX_BODY_BYTES = 8_388_608
    }
}
