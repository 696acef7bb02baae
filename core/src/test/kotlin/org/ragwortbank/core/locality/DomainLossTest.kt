package org.ragwortbank.core.locality

import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DomainLossTest {
    private val fleet = DarkDomain()
    private val gateway = fleet.gateway

    @Test
    fun `given a sound fleet, then no domain counts as lost and both are used`() {
        fleet.play(3.seconds)
        assertEquals(emptySet(), fleet.lost)
        assertEquals(setOf(DOMAIN_A, DOMAIN_B), fleet.attempts.map { it.second }.toSet())
    }

    @Test
    fun `given a dark domain, then after a few failures it is tried by single requests only, and all are answered`() {
        fleet.play(1.seconds)
        fleet.darken(setOf(DOMAIN_A))
        fleet.play(1.seconds)
        assertEquals(setOf(DOMAIN_A), fleet.lost)
        val begin = gateway.now
        fleet.play(10.seconds)
        assertEquals(setOf(DOMAIN_A), fleet.lost)
        val tries = fleet.attemptsAt(DOMAIN_A, begin)
        assertTrue(tries in 1..21, "$tries tries in 10 s")
    }

    @Test
    fun `given the same without the feature, then many more requests run into the dark domain`() {
        val before = DarkDomain(LARGE, LARGE, isAskedFor = false)
        val fleet = DarkDomain(LARGE, LARGE)
        listOf(before, fleet).forEach {
            it.play(1.seconds)
            it.darken(setOf(DOMAIN_A))
            it.play(11.seconds)
        }
        assertEquals(emptySet(), before.lost)
        val start = fleet.gateway.now - 11.seconds
        val with = fleet.attemptsAt(DOMAIN_A, start)
        val without = before.attemptsAt(DOMAIN_A, start)
        assertTrue(with * 2 < without, "$with with the feature, $without without")
    }

    @Test
    fun `given a domain that comes back, then the first answer there ends it`() {
        fleet.darken(setOf(DOMAIN_A))
        fleet.play(1.seconds)
        fleet.darken(emptySet())
        fleet.play(2.seconds)
        assertEquals(emptySet(), fleet.lost)
        val begin = gateway.now
        fleet.play(2.seconds)
        assertTrue(fleet.attemptsAt(DOMAIN_A, begin) > 20)
    }

    @Test
    fun `given failures in both domains, as when the gateway is cut off, then none counts as lost`() {
        listOf(4, 12, 30).forEach { size ->
            val cutOff = DarkDomain(size, size)
            cutOff.play(1.seconds)
            cutOff.darken(setOf(DOMAIN_A, DOMAIN_B))
            cutOff.play(3.seconds)
            assertEquals(emptySet(), cutOff.lost, "$size upstreams in each")
        }
    }

    @Test
    fun `given a dark domain beside one upstream that fails elsewhere, then only the dark domain counts as lost`() {
        fleet.play(1.seconds)
        fleet.darken(setOf(DOMAIN_A), failing = setOf(UpstreamId("desk-5")))
        fleet.play(2.seconds)
        assertEquals(setOf(DOMAIN_A), fleet.lost)
    }

    @Test
    fun `given some upstreams of a domain that fail while the rest answers, then it doesn't count as lost`() {
        val rack = DarkDomain(12, 12)
        rack.play(1.seconds)
        rack.darken(emptySet(), failing = (1..5).map { UpstreamId("desk-$it") }.toSet())
        rack.play(3.seconds)
        assertEquals(emptySet(), rack.lost)
    }

    @Test
    fun `given the only domain with upstreams, then it never counts as lost`() {
        val alone = DarkDomain(sizeA = 4, sizeB = 0)
        alone.remove(DOMAIN_B)
        alone.gateway.applyChanges(*otherUpstreams())
        alone.darken(setOf(DOMAIN_A))
        alone.play(3.seconds)
        assertEquals(emptySet(), alone.lost)
    }

    @Test
    fun `given that the others are emptied, then a dark domain doesn't count as lost`() {
        gateway.applyChanges(StoreChange.DomainEvacuated(DOMAIN_B))
        gateway.applyChanges(*otherUpstreams())
        fleet.darken(setOf(DOMAIN_A))
        fleet.play(3.seconds)
        assertEquals(emptySet(), fleet.lost)
    }

    @Test
    fun `given a lost domain, when the others leave, then its upstreams are used at once`() {
        fleet.darken(setOf(DOMAIN_A))
        fleet.play(1.seconds)
        assertEquals(setOf(DOMAIN_A), fleet.lost)
        fleet.darken(emptySet())
        fleet.remove(DOMAIN_B)
        gateway.advance(1.seconds)
        assertEquals(DOMAIN_A, fleet.sendOne())
    }

    @Test
    fun `given a lost domain without further failures, then it counts as sound after a while`() {
        fleet.darken(setOf(DOMAIN_A))
        fleet.play(1.seconds)
        gateway.advance(SILENCE + LostDomainRow.LIFETIME + 200.milliseconds)
        assertEquals(emptySet(), fleet.lost)
    }

    @Test
    fun `given a domain that is concluded to be lost, then idle connections there are closed`() {
        fleet.darken(setOf(DOMAIN_A))
        fleet.play(1.seconds)
        assertEquals(1, fleet.closings)
    }

    /** Removes the fixture's other upstreams, which are in a domain of their own. */
    private fun otherUpstreams(): Array<StoreChange> =
        gateway.tables.upstreams.values
            .filter { it.registration.domain !in setOf(DOMAIN_A, DOMAIN_B) }
            .map { StoreChange.UpstreamRemoved(it.registration.id) }
            .toTypedArray()

    private companion object {
        /** Time after which a request without an answer, such as the last that tried the domain, counts as failed. */
        val SILENCE = 1_500.milliseconds
        const val LARGE = 30
    }
}
