package org.ragwortbank.node.gateway

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BufferedBodyTest {
    private val budget = BufferBudget(maxBytes = 10)
    private val body = BufferedBody(budget)

    // Guards against small parts of an answer that keep far more memory than their own size.
    @Test
    fun `given a small part of a large buffer, then the large one can be freed`() {
        val large = Unpooled.buffer(65_536).writeZero(65_536)
        repeat(8) { body.add(large.slice(it, 1)) }
        assertEquals(1, large.refCnt())
        assertEquals(8, body.size)
        assertTrue((body.take()?.capacity() ?: 0) < 1_024)
    }

    @Test
    fun `given bodies that use up the budget, then it is exhausted until one of them is taken`() {
        val other = BufferedBody(budget)
        body.add(Unpooled.wrappedBuffer(ByteArray(8)))
        assertFalse(budget.isExhausted)
        other.add(Unpooled.wrappedBuffer(ByteArray(8)))
        assertTrue(budget.isExhausted)
        other.release()
        assertFalse(budget.isExhausted)
    }
}
