package org.ragwortbank.core.gateway

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

/** Compares decisions with those recorded before routing was split into exclusions, limits and delay terms. */
class RecordedDecisionsTest {
    @Test
    fun `given a configuration that asks for nothing further, then each recorded effect is the same`() {
        val effects = RecordedInputs(seed = 1).play(steps = 400)
        File("target/recorded-decisions.txt").writeText(effects.joinToString("\n", postfix = "\n"))
        val recorded = checkNotNull(javaClass.getResourceAsStream("/recorded/decisions.txt")).reader().readLines()
        recorded.zip(effects).forEachIndexed { index, (expected, found) ->
            assertEquals(expected, found, "effect ${index + 1}")
        }
        assertEquals(recorded.size, effects.size)
    }
}
