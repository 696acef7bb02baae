package org.ragwortbank.clients.http

/** Outcome of a call whose answer is read as a whole. */
sealed interface HttpReply {
    /** The server answered. */
    class Answered(val head: HttpHead, val body: ByteArray) : HttpReply {
        /** The HTTP status. */
        val status: Int get() = head.status

        /** The body as text. */
        val text: String get() = body.decodeToString()

        /** Whether the status is 2xx. */
        val succeeded: Boolean get() = status / HUNDRED == 2
    }

    /** No complete answer came; when not [connected], nothing has been sent. */
    data class Failed(val connected: Boolean, val cause: String) : HttpReply

    private companion object {
        const val HUNDRED = 100
    }
}
