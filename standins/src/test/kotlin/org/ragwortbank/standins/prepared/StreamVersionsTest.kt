package org.ragwortbank.standins.prepared

import java.util.concurrent.Future
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against streams that go on at another software version than the one that began them. */
class StreamVersionsTest {
    private val fleet = VersionsFleet().apply { start() }

    @AfterTest
    fun stop() = fleet.stop()

    @Test
    fun `given streams that break off at both versions, then all go on at theirs, at any gateway`() {
        listOf("v1", "v2").forEach { fleet.breakOff(it, events = 9) }
        val streams = fleet.call("broken", STREAMS).await()
        assertKept(streams)
        assertEquals(emptyList(), streams.filterNot { it.isWhole })
    }

    @Test
    fun `given a gateway that is killed and comes back, then its streams go on at the other one and at itself`() {
        val streams = fleet.call("one-killed", STREAMS)
        Thread.sleep(MIDWAY_MILLIS)
        fleet.killGateways(0)
        fleet.startGateways()
        val later = fleet.call("after-one", STREAMS)
        assertKept(streams.await() + later.await())
        assertEquals(emptyList(), streams.await().filterNot { it.isWhole })
    }

    @Test
    fun `given all gateways killed at once, when they are back, then streams go on only at their versions`() {
        val streams = fleet.call("all-killed", STREAMS)
        Thread.sleep(MIDWAY_MILLIS)
        fleet.killGateways(0, 1)
        fleet.startGateways()
        assertKept(streams.await())
        assertEquals(emptyList(), streams.await().filterNot { it.isWhole })
    }

    @Test
    fun `given a store that is away, when streams break off and gateways are killed, then no versions are joined`() {
        fleet.breakOff("v1", events = 9)
        fleet.breakOff("v2", events = 12)
        val streams = fleet.call("store-away", STREAMS)
        Thread.sleep(EARLY_MILLIS)
        fleet.store.setUnavailable(true)
        Thread.sleep(MIDWAY_MILLIS)
        fleet.killGateways(0)
        fleet.startGateways()
        Thread.sleep(AWAY_MILLIS)
        fleet.store.setUnavailable(false)
        assertKept(streams.await())
        assertEquals(emptyList(), streams.await().filterNot { it.isWhole })
    }

    // Guards against a gateway that wakes with an old list, by which it sends streams to workers of another version.
    @Test
    fun `given a gateway that stands still, when workers change their versions, then no versions are joined`() {
        listOf("v1", "v2").forEach { fleet.breakOff(it, events = 9) }
        fleet.suspendGateway(0)
        listOf(0 to "v2", 2 to "v2", 1 to "v1").forEach { (index, version) -> fleet.restartWorker(index, version) }
        listOf("v1", "v2").forEach { fleet.breakOff(it, events = 9) }
        Thread.sleep(STILL_MILLIS)
        val atOnce = List(STREAMS) { fleet.callAt(0, "woken-$it") }
        fleet.resumeGateway(0)
        Thread.sleep(MIDWAY_MILLIS)
        val streams = atOnce + List(STREAMS) { fleet.callAt(0, "later-$it") }
        assertKept(streams.await())
        assertEquals(emptyList(), streams.await().filterNot { it.isWhole })
    }

    @Test
    fun `given a store that is back from an older copy, when all gateways were killed, then no versions are joined`() {
        val copy = fleet.store.snapshot
        val streams = fleet.call("drill", STREAMS)
        Thread.sleep(MIDWAY_MILLIS)
        fleet.store.stop()
        fleet.killGateways(0, 1)
        fleet.store.restart(copy)
        fleet.startGateways()
        val later = fleet.call("after-drill", STREAMS)
        assertKept(streams.await() + later.await())
        assertEquals(emptyList(), later.await().filterNot { it.isWhole })
    }

    private fun List<Future<CalledStream>>.await(): List<CalledStream> = map { it.get() }

    private fun assertKept(streams: List<CalledStream>) {
        val broken = streams.filter { it.versions.size > 1 || !it.isInOrder }
        val report = broken.joinToString("\n") { "$it\n  ${fleet.logLines(it.name).joinToString("\n  ")}" }
        assertTrue(broken.isEmpty(), "${broken.size} of ${streams.size} streams are joined:\n$report")
        val versions = streams.flatMap { it.versions }.toSet()
        assertEquals(setOf("v1", "v2"), versions, "versions that served streams")
        assertTrue(streams.any { it.takeUps > 0 }, "no stream was taken up")
    }

    private companion object {
        const val STREAMS = 30

        /** Less than a whole stream lasts, and more than its beginning takes. */
        const val MIDWAY_MILLIS = 700L
        const val EARLY_MILLIS = 200L
        const val STILL_MILLIS = 3_200L
        const val AWAY_MILLIS = 2_000L
    }
}
