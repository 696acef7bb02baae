package org.ragwortbank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals

class ExchangeTraceTest {
    private val trace = ExchangeTrace(ConnectionUse(number = 7, carriedBefore = 2))

    @Test
    fun `given many skipped answers, then the first are listed and all are counted`() {
        val full = (1..9).fold(trace) { current, id -> current.withSkipped(AnswerSummary(200, "r$id")) }
        val skipped = "skipped 9 (200 of r1, 200 of r2, 200 of r3, 200 of r4 and others)"
        val text = "connection 7 after 2 exchanges, $skipped, no answer read"
        assertEquals(text, full.describe())
    }

    @Test
    fun `given an answer that was read and passed on, then both statuses are told`() {
        val answered = trace.copy(read = AnswerSummary(500, null), passedOn = 200)
        val text = "connection 7 after 2 exchanges, read 500 without an id, passed on 200"
        assertEquals(text, answered.describe())
    }

    @Test
    fun `given an exchange without a connection, then the text says so`() {
        assertEquals("no connection", null.describe())
    }
}
