package org.ragwortbank.clients.http

/** Outcome of a call whose response is read completely before it is reported. */
sealed interface HttpReply {
    /** The server answered. */
    class Answered(val head: HttpHead, val body: ByteArray) : HttpReply {
        /** The HTTP status. */
        val status: Int get() = head.status

        /** The body as text. */
        val text: String get() = body.decodeToString()

        /** Whether the status is 2xx. */
        val isSuccess: Boolean get() = status / STATUS_CLASS_SIZE == 2
    }

    /**
     * No complete response arrived; when not [wasConnected], nothing has been sent.
     *
     * @property isTooLong whether the response was given up for its length, so that the same call would fail again
     */
    data class Failed(val wasConnected: Boolean, val cause: String, val isTooLong: Boolean = false) : HttpReply

    private companion object {
        const val STATUS_CLASS_SIZE = 100
    }
}
