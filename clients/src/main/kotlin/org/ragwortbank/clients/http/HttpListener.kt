package org.ragwortbank.clients.http

/**
 * Hears an answer piece by piece, on one thread.
 *
 * After the head and any content comes exactly one of [onEnd] and [onFailure].
 */
interface HttpListener {
    /** The head arrived. */
    fun onHead(head: HttpHead)

    /** A piece of the body arrived. */
    fun onContent(bytes: ByteArray)

    /** The answer is complete. */
    fun onEnd()

    /** There will be no complete answer; when not [connected], nothing has been sent. */
    fun onFailure(connected: Boolean, cause: String)
}
