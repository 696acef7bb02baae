package org.ragwortbank.node.gateway

import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.metrics.BadInput
import org.ragwortbank.node.metrics.NodeMetrics

/** Notified of what upstreams send on their connections beside the answers to requests. */
internal interface ConnectionObserver {
    /** An answer to another request was skipped. */
    fun onSkippedAnswer()

    /** Bytes arrived on a connection without a request, which is closed for that. */
    fun onUnaskedBytes(bytes: UnaskedBytes)
}

/** Writes log lines and counts in [metrics]. */
internal class LoggingConnectionObserver(
    private val metrics: NodeMetrics,
    private val write: (LogLine) -> Unit = Logs::write,
) : ConnectionObserver {
    override fun onSkippedAnswer() = metrics.recordBadInput(BadInput.OTHER_ANSWER)

    override fun onUnaskedBytes(bytes: UnaskedBytes) {
        metrics.recordBadInput(BadInput.UNASKED_BYTES)
        write(LogLine(LogPart.LINKS, describe(bytes)))
    }

    private fun describe(bytes: UnaskedBytes): String {
        val connection = "connection ${bytes.history.number} to ${bytes.upstream}"
        val unasked = "${bytes.count} bytes came unasked, beginning '${bytes.firstLine}'"
        val last = bytes.history.last ?: return "$connection, before its first request: $unasked"
        val use = "idle after ${bytes.history.carried} exchanges"
        return "request ${last.requestId}: $connection, $use, the last one this with ${last.status}: $unasked"
    }
}

/** Ignores all. */
internal object IgnoringConnectionObserver : ConnectionObserver {
    override fun onSkippedAnswer() = Unit

    override fun onUnaskedBytes(bytes: UnaskedBytes) = Unit
}
