package org.ragwortbank.core.log

import kotlin.test.Test
import kotlin.test.assertEquals

class LogTextTest {
    @Test
    fun `given text with control characters, then they are replaced and the text is cut`() {
        assertEquals("HTTP/1.1 2?0", cleanedText("HTTP/1.1 2\u00010 OK", maxLength = 12))
    }

    @Test
    fun `given an id with spaces and line breaks, then they are replaced`() {
        assertEquals("a?b?c?", cleanedId("a b\nc\u2028", maxLength = 64))
    }
}
