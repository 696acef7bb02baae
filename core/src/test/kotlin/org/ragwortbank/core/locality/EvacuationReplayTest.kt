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
            assertTrue(replay.sends.size > STEPS / 2, "seed $seed sent ${replay.sends.size}")
        }
    }

    @Test
    fun `given the same load without the exclusion, then requests reach emptied domains`() {
        val replay = EvacuationReplay(seed = 1, policyWithoutPlaces()).play(STEPS)
        assertTrue(replay.wrongSends > 0)
    }

    @Test
    fun `given no evacuations, homes or features, then each send is the same with and without the parts for places`() {
        val with = EvacuationReplay(seed = 3, defaultUpstreamPolicy(), changesEvacuations = false).play(STEPS)
        val without = EvacuationReplay(seed = 3, policyWithoutPlaces(), changesEvacuations = false).play(STEPS)
        assertEquals(without.sends, with.sends)
        assertTrue(with.sends.size > STEPS / 2)
    }

    private fun policyWithoutPlaces(): UpstreamPolicy {
        val policy = defaultUpstreamPolicy()
        val exclusions = policy.exclusions.filter { it !is EvacuatedDomain && it !is OutsideHome }
        return policy.copy(
            exclusions = exclusions.toPersistentList(),
            terms = policy.terms.filter { it !is LostDomainDelay }.toPersistentList(),
            observers = policy.observers.filter { it !is DomainLossObserver }.toPersistentList(),
        )
    }

    private companion object {
        const val SEEDS = 8
        const val STEPS = 500
    }
}
