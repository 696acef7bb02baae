package org.ragwortbank.clients.http

import java.io.ByteArrayOutputStream

/** Collects a response and passes it on when it is complete. */
internal class ResponseCollector(private val done: (HttpReply) -> Unit) : HttpListener {
    private val body = ByteArrayOutputStream()
    private var head: HttpHead? = null

    override fun onHead(head: HttpHead) {
        this.head = head
    }

    override fun onContent(bytes: ByteArray) = body.writeBytes(bytes)

    override fun onCompleted() {
        val received = head
        when (received) {
            null -> done(HttpReply.Failed(wasConnected = true, "the response had no head"))
            else -> done(HttpReply.Answered(received, body.toByteArray()))
        }
    }

    override fun onFailure(wasConnected: Boolean, cause: String) = done(HttpReply.Failed(wasConnected, cause))
}
