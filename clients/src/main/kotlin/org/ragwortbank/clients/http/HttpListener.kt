package org.ragwortbank.clients.http

/**
 * Receives a response in chunks, on one thread.
 *
 * Exactly one of [onCompleted] and [onFailure] is called, and it is the last call.
 */
interface HttpListener {
    /** The head arrived. */
    fun onHead(head: HttpHead)

    /** A chunk of the body arrived. */
    fun onContent(bytes: ByteArray)

    /** The response is complete. */
    fun onCompleted()

    /** There will be no complete response; when not [wasConnected], nothing has been sent. */
    fun onFailure(wasConnected: Boolean, cause: String)
}
