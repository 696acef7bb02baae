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

    /** The header fields of [attempt], made from the caller's [headers]; [remaining] is the time until its deadline. */
    fun upstreamHeaders(headers: HttpHeaders, attempt: UpstreamAttempt, remaining: Duration): HttpHeaders

    /** What the head of an answer says. */
    fun answerFacts(response: HttpResponse): AnswerFacts

    /** Whether [response] belongs to another request than the one with [id]. */
    fun answersOtherRequest(response: HttpResponse, id: String): Boolean

    /** How long the sender of [response] keeps the connection open while it is idle; null when it doesn't say. */
    fun keepAliveTimeout(response: HttpResponse): Duration?
}
