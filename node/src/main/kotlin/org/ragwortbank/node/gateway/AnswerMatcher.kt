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

    /** A second answer to an earlier request on the connection. */
    data object OfOtherRequest : AnswerMatch

    /** An answer that can't be trusted, for [cause]; no later one on the connection can be either. */
    data class Refused(val cause: String) : AnswerMatch
}

/** Matches answers to the request [requestId]. */
internal class AnswerMatcher(private val requestId: String, private val dialect: RequestDialect) {
    /** Matches [response], received on a connection that had carried [history] before the request. */
    fun match(response: HttpResponse, history: ConnectionHistory): AnswerMatch = when {
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL -> matchInterim(response.status())
        else -> dialect.defect(response)?.let(AnswerMatch::Refused) ?: matchFinal(response, history)
    }

    private fun matchFinal(response: HttpResponse, history: ConnectionHistory): AnswerMatch = when {
        dialect.answersOtherRequest(response, requestId) -> matchOther(dialect.requestId(response), history)
        history.carried > 0 && !dialect.namesRequest(response, requestId) ->
            AnswerMatch.Refused("an answer to no request, on a connection that was used before")
        else -> AnswerMatch.Own
    }

    private fun matchInterim(status: HttpResponseStatus): AnswerMatch =
        if (status in interimStatuses) AnswerMatch.Interim else AnswerMatch.Refused("interim status $status")

    /** An upstream may answer an earlier request twice; one that names any other request mixes up its connections. */
    private fun matchOther(namedRequest: String?, history: ConnectionHistory): AnswerMatch = when {
        namedRequest != null && history.hasCarried(namedRequest) -> AnswerMatch.OfOtherRequest
        else -> AnswerMatch.Refused("an answer to a request that its connection has not carried")
    }

    private companion object {
        val interimStatuses =
            setOf(HttpResponseStatus.CONTINUE, HttpResponseStatus.PROCESSING, HttpResponseStatus.EARLY_HINTS)
    }
}
