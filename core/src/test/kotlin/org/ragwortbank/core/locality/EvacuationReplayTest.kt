package org.ragwortbank.core.locality

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.selection.defaultUpstreamPolicy
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EvacuationReplayTest {
    @Test
    fun `given domains that are emptied and taken back under load, then nothing is sent to an emptied one`() {
        (1..SEEDS).forEach { seed ->
            val replay = EvacuationReplay(seed, defaultUpstreamPolicy()).play(STEPS)
            assertEquals(0, replay.wrongSends, "seed $seed")
            assertTrue(replay.sends > STEPS / 2, "seed $seed sent ${replay.sends}")
        }
    }

    @Test
    fun `given the same load without the exclusion, then requests reach emptied domains`() {
        val replay = EvacuationReplay(seed = 1, policyWithoutPlaces()).play(STEPS)
        assertTrue(replay.wrongSends > 0)
    }

    private fun policyWithoutPlaces(): UpstreamPolicy {
        val policy = defaultUpstreamPolicy()
        val others = policy.exclusions.filter { it !is EvacuatedDomain && it !is OutsideHome }
        return policy.copy(exclusions = others.toPersistentList())
    }

    private companion object {
        const val SEEDS = 8
        const val STEPS = 500
    }
}
