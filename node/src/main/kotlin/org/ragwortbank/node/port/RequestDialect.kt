package org.ragwortbank.node.port

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.serving.ServingCall
import kotlin.time.Duration

/** How callers and upstreams of a platform say in header fields what a request is and what became of it. */
interface RequestDialect {
    /** What [request] says of itself; null when a field can't be understood. */
    fun decode(request: HttpRequest): ServingCall?

    /** The header fields under which [sending] of a request with [headers] goes to its upstream, with [left] to run. */
    fun outgoing(headers: HttpHeaders, sending: UpstreamAttempt, left: Duration): HttpHeaders

    /** What the head of an answer says. */
    fun facts(response: HttpResponse): AnswerFacts

    /** Whether [response] belongs to another request than the one with [id]. */
    fun isForeign(response: HttpResponse, id: String): Boolean

    /** How long the sender of [response] keeps the connection open while it is idle; null when it doesn't say. */
    fun idleLimit(response: HttpResponse): Duration?
}
