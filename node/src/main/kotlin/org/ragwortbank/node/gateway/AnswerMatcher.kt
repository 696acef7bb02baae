package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import org.ragwortbank.node.port.RequestDialect

/** What the head of an answer is to the request that its connection carries. */
internal sealed interface AnswerMatch {
    /** The answer to the request. */
    data object Own : AnswerMatch

    /** An interim answer, which the final one follows. */
    data object Interim : AnswerMatch

    /** An answer to another request, such as a second one to an earlier request on the connection. */
    data object OfOtherRequest : AnswerMatch

    /** An answer that can't be trusted, for [cause]; no later one on the connection can be either. */
    data class Refused(val cause: String) : AnswerMatch
}

/** Matches answers to the request [requestId]. */
internal class AnswerMatcher(private val requestId: String, private val dialect: RequestDialect) {
    /** Matches [response], received on a connection that has carried other requests if [isConnectionReused]. */
    fun match(response: HttpResponse, isConnectionReused: Boolean): AnswerMatch = when {
        response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS ->
            AnswerMatch.Refused("a change of the protocol, which was not asked for")
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL -> AnswerMatch.Interim
        dialect.answersOtherRequest(response, requestId) -> AnswerMatch.OfOtherRequest
        isConnectionReused && !dialect.namesRequest(response, requestId) ->
            AnswerMatch.Refused("an answer to no request, on a connection that was used before")
        else -> dialect.defect(response)?.let(AnswerMatch::Refused) ?: AnswerMatch.Own
    }
}
