package org.ragwortbank.standins.drill

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.ragwortbank.standins.fleet.Polling
import org.ragwortbank.standins.fleet.testLauncher
import org.ragwortbank.standins.prepared.StoreStandIn
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Runs two gateways as processes, of which the second one starts while the store is away or slow. */
class StartWithoutStoreTest {
    private val launcher = testLauncher("ragwortbank-without-store")
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val threads = Executors.newCachedThreadPool()
    private val store = StoreStandIn(group)
    private val storeAddress = store.start()
    private val workers = DrillWorkers(group)
    private val gateways = List(2) { DrillGateway(launcher, it, storeAddress) }
    private val start = TimeSource.Monotonic.markNow()

    init {
        store.put(OperatorSystem.KEY, DrillOperator.FIRST.toJson())
        workers.writeAll(store, Duration.ZERO)
        gateways[0].start()
        assertTrue(Polling.until { statuses(0, 1) == listOf(200) }, "the first gateway did not become ready in time")
    }

    @AfterTest
    fun `stop the processes`() {
        gateways.forEach { it.end(isKilled = true) }
        threads.shutdown()
        group.shutdownGracefully()
    }

    // Guards against denials by a gateway that knows no configuration, or one that it has from elsewhere.
    @Test
    fun `given a store that is away, when a gateway starts, then it denies nothing until the store is back`() {
        store.stop()
        gateways[1].start()
        assertEquals(setOf<Int?>(503), statuses(1, CALLS).toSet())
        store.restart()
        assertServesWithoutDenials()
    }

    @Test
    fun `given a store that answers too late, when a gateway starts, then it denies nothing until that changes`() {
        store.setAnswerDelay(1_500.milliseconds)
        gateways[1].start()
        assertEquals(setOf<Int?>(503), statuses(1, CALLS).toSet())
        store.setAnswerDelay(Duration.ZERO)
        assertServesWithoutDenials()
    }

    @Test
    fun `given a store that comes back from an older copy, when a gateway starts, then it serves the first routes`() {
        val copy = store.snapshot
        store.put(OperatorSystem.KEY, DrillOperator.FIRST.copy(version = 2).toJson())
        store.stop()
        gateways[1].start()
        assertEquals(setOf<Int?>(503), statuses(1, CALLS).toSet())
        store.restart(copy)
        assertServesWithoutDenials()
    }

    private fun assertServesWithoutDenials() {
        val seen = generateSequence { statuses(1, 1).single() }.take(MAX_CALLS).takeWhile { it != 200 }.toList()
        assertEquals(emptySet(), seen.toSet() - 503)
        assertTrue(seen.size < MAX_CALLS, "no request was served")
        assertEquals(List(CALLS) { 200 }, statuses(1, CALLS))
    }

    /** Statuses of [count] requests that all versions allow, sent one after another without waiting for answers. */
    private fun statuses(machine: Int, count: Int): List<Int?> {
        val caller = DrillCaller("stable", machine, gateways[machine], Random(1), start::elapsedNow)
        val calls = (1..count).map { number ->
            Thread.sleep(PAUSE_MILLIS)
            threads.submit<Int?> { caller.callFirstRoute(number)?.status }
        }
        return calls.map { it.get() }
    }

    private companion object {
        const val CALLS = 40
        const val MAX_CALLS = 500
        const val PAUSE_MILLIS = 20L
    }
}
