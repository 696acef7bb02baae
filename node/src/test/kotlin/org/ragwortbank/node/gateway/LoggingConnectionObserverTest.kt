package org.ragwortbank.node.gateway

import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.node.metrics.NodeMetrics
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class LoggingConnectionObserverTest {
    private val metrics = NodeMetrics()
    private var lines = emptyList<LogLine>()
    private val observer = LoggingConnectionObserver(metrics) { lines = lines + it }

    @Test
    fun `given unasked bytes, then one line names the last request of their connection, and they are counted`() {
        val history = ConnectionHistory(number = 7, carried = 3, last = CompletedExchange("r1", 500))
        observer.onUnaskedBytes(UnaskedBytes(history, Endpoint("127.0.0.1", 80), 120, "HTTP/1.1 200 OK"))
        val text = "request r1: connection 7 to 127.0.0.1:80, idle after 3 exchanges, the last one this with 500: " +
            "120 bytes came unasked, beginning 'HTTP/1.1 200 OK'"
        assertEquals(listOf(LogLine(LogPart.LINKS, text)), lines)
        assertContains(metrics.toPrometheusText(), "ragwortbank_bad_input_total{kind=\"unasked_bytes\"} 1")
    }

    @Test
    fun `given a skipped answer, then it is counted`() {
        observer.onSkippedAnswer()
        assertContains(metrics.toPrometheusText(), "ragwortbank_bad_input_total{kind=\"other_answer\"} 1")
        assertEquals(emptyList(), lines)
    }
}
