package org.ragwortbank.clients.http

import java.io.ByteArrayOutputStream

/** Gathers an answer and passes it on as a whole. */
internal class Collector(private val done: (HttpReply) -> Unit) : HttpListener {
    private val body = ByteArrayOutputStream()
    private var head: HttpHead? = null

    override fun onHead(head: HttpHead) {
        this.head = head
    }

    override fun onContent(bytes: ByteArray) = body.writeBytes(bytes)

    override fun onEnd() {
        val received = head
        when (received) {
            null -> done(HttpReply.Failed(connected = true, "the answer had no head"))
            else -> done(HttpReply.Answered(received, body.toByteArray()))
        }
    }

    override fun onFailure(connected: Boolean, cause: String) = done(HttpReply.Failed(connected, cause))
}
