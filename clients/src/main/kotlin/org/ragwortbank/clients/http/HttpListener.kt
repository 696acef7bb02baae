package org.ragwortbank.clients.http

/**
 * Hears an answer piece by piece, on one thread.
 *
 * After the head and any content comes exactly one of [onCompleted] and [onFailure].
 */
interface HttpListener {
    /** The head arrived. */
    fun onHead(head: HttpHead)

    /** A piece of the body arrived. */
    fun onContent(bytes: ByteArray)

    /** The answer is complete. */
    fun onCompleted()

    /** There will be no complete answer; when not [wasConnected], nothing has been sent. */
    fun onFailure(wasConnected: Boolean, cause: String)
}
