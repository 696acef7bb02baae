package org.ragwortbank.standins.http

/** Handles the requests to a stand-in. */
fun interface StandInHandler {
    /** Responds to [request] through [responder], before or after this function returns. */
    fun handle(request: StandInRequest, responder: Responder)
}
