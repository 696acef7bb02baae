package org.ragwortbank.node.port

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.serving.ServingCall
import kotlin.time.Duration

/** Reads and writes the header fields by which a platform describes requests and their outcomes. */
interface RequestDialect {
    /** Decodes the header fields of [request]; null when one is missing or can't be parsed. */
    fun decode(request: HttpRequest): ServingCall?

    /** The header fields of [attempt], made from the caller's [headers]; [remaining] is the time until its deadline. */
    fun upstreamHeaders(headers: HttpHeaders, attempt: UpstreamAttempt, remaining: Duration): HttpHeaders

    /** Decodes the header fields of an answer. */
    fun answerFacts(response: HttpResponse): AnswerFacts

    /** Whether [response] answers a request other than the one with [id]. */
    fun answersOtherRequest(response: HttpResponse, id: String): Boolean

    /** Whether [response] says that it answers the request with [id]. */
    fun namesRequest(response: HttpResponse, id: String): Boolean = requestId(response) == id

    /** The id of the request that [response] says it answers; null when it names none. */
    fun requestId(response: HttpResponse): String?

    /** Whether [line] of an answer's head names the request that it answers, or the run that made it. */
    fun namesRun(line: String): Boolean

    /** Why [response] can't be the upstream's own answer although it answers the request; null when it can. */
    fun defect(response: HttpResponse): String?

    /** How long the sender of [response] keeps an idle connection open; null when the response doesn't state it. */
    fun keepAliveTimeout(response: HttpResponse): Duration?
}
