package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.gateway.UpstreamNotice
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.node.port.RequestDialect
import kotlin.time.Duration

/** A dialect that forwards all headers, and recognises an answer to another request by its `X-Request-Id`. */
internal object IdDialect : RequestDialect {
    override fun decode(request: HttpRequest): ServingCall? = null

    override fun upstreamHeaders(headers: HttpHeaders, attempt: UpstreamAttempt, remaining: Duration): HttpHeaders =
        headers

    override fun answerFacts(response: HttpResponse) =
        AnswerFacts(response.status().code(), notRun = false, load = null, notice = notice(response))

    private fun notice(response: HttpResponse): UpstreamNotice? =
        if ("X-Leaving" in response.headers()) UpstreamNotice(isLeaving = true) else null

    override fun answersOtherRequest(response: HttpResponse, id: String) =
        response.headers()["X-Request-Id"]?.let { it != id } ?: false

    override fun requestId(response: HttpResponse): String? = response.headers()["X-Request-Id"]

    override fun namesRun(line: String) = line.startsWith("X-Request-Id:", ignoreCase = true)

    override fun defect(response: HttpResponse): String? = null

    override fun keepAliveTimeout(response: HttpResponse): Duration? = null
}
