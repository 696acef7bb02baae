package org.ragwortbank.cli.explain

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class RequestTimelineTest {
    private val edge1Log = listOf(
        logLine("01.000", "members", "upstream i-7 of engines joined the list at 10.0.0.7:80"),
        logLine("05.000", "admission", "request abc of club admitted on route chat to engines, 900 tokens, 40 left"),
        logLine("05.010", "placement", "request abc waits for base/a1 at i-7, ABSENT, expected 345 ms"),
        logLine("05.300", "routing", "request abc attempt 1 to i-7, expected 20 ms, load 3, load told 12 ms old"),
        logLine("05.310", "admission", "request abcd of club admitted on route chat to engines"),
        logLine("05.900", "answer", "request abc answered by i-7 with 200"),
        logLine("06.400", "routing", "request abc lost at i-7: the connection was closed"),
        logLine("06.401", "answer", "request abc: 4003 ANSWER_BROKEN, ran: upstream i-7 broke off"),
        """{"time":"2026-12-04T12:00:06.5""",
    )
    private val edge2Log = listOf(
        logLine("06.900", "members", "upstream i-7 of engines left the list"),
        logLine("06.950", "members", "upstream i-8 of engines left the list"),
    )

    @Test
    fun `given logs of several processes, then only the request's lines are returned, in order of time`() {
        val parts = timelineOf("abc").requestLines.map { it.part }
        assertEquals(listOf("admission", "placement", "routing", "answer", "routing", "answer"), parts)
    }

    @Test
    fun `given an upstream that broke off, then lines of other processes on it at that time are context lines`() {
        assertEquals(listOf("upstream i-7 of engines left the list"), timelineOf("abc").contextLines.map { it.message })
    }

    @Test
    fun `given a request that ended with a result code, then the text gives its meaning`() {
        assertContains(timelineOf("abc").render(), "end: 4003: ")
        assertContains(timelineOf("abc").render(), "1 lines were truncated or not log lines")
    }

    @Test
    fun `given bytes that came unasked after an answer, then their line is one of the request's and not its end`() {
        val passedOn = logLine("01.000", "answer", "request abc passed on from i-7; read 200 of abc, passed on 200")
        val unasked = logLine("01.007", "links", "request abc: connection 7 to 10.0.0.7:80: 122 bytes came unasked")
        val log = ParsedLog().withLinesOf("edge-1", "$passedOn\n$unasked".reader().buffered())
        val timeline = RequestTimeline.of("abc", log.lines, log.unparsedCount)
        assertEquals(listOf("answer", "links"), timeline.requestLines.map { it.part })
        assertContains(timeline.render(), "end: passed on from i-7")
    }

    @Test
    fun `given an id that no line names, then the text says that no line was found`() {
        val expected = "no line names request none; 1 lines were truncated or not log lines\n"
        assertEquals(expected, timelineOf("none").render())
    }

    private fun timelineOf(id: String): RequestTimeline {
        val log = ParsedLog()
            .withLinesOf("edge-1", edge1Log.joinToString("\n").reader().buffered())
            .withLinesOf("edge-2", edge2Log.joinToString("\n").reader().buffered())
        return RequestTimeline.of(id, log.lines, log.unparsedCount)
    }

    private fun logLine(second: String, part: String, message: String) =
        """{"time":"2026-12-04T12:00:${second}Z","level":"INFO","part":"$part","message":"$message"}"""
}
