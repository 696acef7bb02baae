package org.ragwortbank.core.speed

import kotlin.test.Test

class ScratchTest {
    @Test
    fun `scratch`() {
        listOf(21).forEach { count -> listOf(true).forEach { s -> 
            repeat(3) { seed -> val f = UnevenFleet(count, s, 400, seed + 1); f.play(12); println("SCR $count $s seed $seed: ${f.describe()}") } } }
    }
}
