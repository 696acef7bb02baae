package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.HttpResponse
import org.ragwortbank.core.gateway.AnswerSummary
import org.ragwortbank.core.gateway.ConnectionUse
import org.ragwortbank.core.gateway.ExchangeTrace
import org.ragwortbank.core.log.cleanedId
import org.ragwortbank.node.port.RequestDialect

/** Records what one exchange reads, and reports each change to [onTrace]. */
internal class ExchangeRecorder(
    private val dialect: RequestDialect,
    private val onTrace: (ExchangeTrace) -> Unit,
) {
    private var trace: ExchangeTrace? = null

    /** The exchange got its connection. */
    fun onConnection(use: ConnectionUse) = report(ExchangeTrace(use))

    /** The head of an answer was read and skipped. */
    fun onSkipped(response: HttpResponse) {
        trace?.let { report(it.withSkipped(summary(response))) }
    }

    /** The head of an answer was read and not skipped. */
    fun onRead(response: HttpResponse) {
        trace?.let { report(it.copy(read = summary(response))) }
    }

    private fun summary(response: HttpResponse): AnswerSummary {
        val id = dialect.requestId(response)?.let { cleanedId(it, MAX_ID_LENGTH) }
        return AnswerSummary(response.status().code(), id)
    }

    private fun report(changed: ExchangeTrace) {
        trace = changed
        onTrace(changed)
    }

    private companion object {
        const val MAX_ID_LENGTH = 64
    }
}
