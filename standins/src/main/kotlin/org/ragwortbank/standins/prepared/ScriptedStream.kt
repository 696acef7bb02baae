package org.ragwortbank.standins.prepared

import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.http.Responder

/** The events that [script] sends to one request. */
internal class ScriptedStream(private val script: StreamScript, private val responder: Responder) {
    /** Begins the stream, or takes it up after the event [lastEventId]. */
    fun begin(lastEventId: String?, headers: List<Header>) {
        val previous = lastEventId?.toIntOrNull() ?: 0
        responder.beginChunked("text/event-stream", headers)
        send(previous + 1, lastNumber = script.breakAfter.takeIf { previous == 0 })
    }

    private fun send(number: Int, lastNumber: Int?) {
        if (number > script.eventCount) return responder.endChunked()
        responder.sendChunk(script.event(number))
        responder.schedule(script.interval) {
            if (number == lastNumber) responder.closeConnection() else send(number + 1, lastNumber)
        }
    }
}
