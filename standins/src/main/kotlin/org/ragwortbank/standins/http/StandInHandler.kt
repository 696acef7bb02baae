package org.ragwortbank.standins.http

/** Answers the requests to a stand-in. */
fun interface StandInHandler {
    /** Answers [request] by [responder], now or later. */
    fun handle(request: StandInRequest, responder: Responder)
}
