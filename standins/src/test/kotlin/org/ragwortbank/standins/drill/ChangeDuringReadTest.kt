package org.ragwortbank.standins.drill

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.ragwortbank.standins.fleet.Polling
import org.ragwortbank.standins.fleet.testLauncher
import org.ragwortbank.standins.prepared.StoreStandIn
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Runs a gateway as a process before a store whose pages are late, while the operator adds a route. */
class ChangeDuringReadTest {
    private val launcher = testLauncher("ragwortbank-during-read")
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val store = StoreStandIn(group)
    private val gateway = DrillGateway(launcher, 0, store.start())
    private val workers = DrillWorkers(group)
    private val start = TimeSource.Monotonic.markNow()
    private val caller = DrillCaller("read", 0, gateway, Random(1), start::elapsedNow)
    init {
        store.put(OperatorSystem.KEY, DrillOperator.FIRST.toJson())
        workers.writeAll(store, Duration.ZERO)
        repeat(OTHER_ITEMS) { store.put("zz/$it", "") }
        store.setAnswerDelay(PAGE_DELAY)
    }

    @AfterTest
    fun `stop the processes`() {
        gateway.end(isKilled = true)
        group.shutdownGracefully()
    }

    // Guards against a change that is missed between the pages of a read, or between the last one and the first watch.
    @Test
    fun `given a route added while a gateway reads the store, then it is served within the bound`() {
        gateway.start()
        assertTrue(Polling.until { caller.callFirstRoute(0)?.status == 200 }, "the gateway did not become ready")
        moments.forEachIndexed { index, moment ->
            val prefix = CompletableFuture.supplyAsync { addRouteAt(moment, version = index + 2L) }
            forceRead()
            assertServed(prefix.get(), moment)
        }
    }

    @Test
    fun `given a route added while a gateway starts and reads the store, then it is served within the bound`() {
        val moment = Moment(page = 2, later = Duration.ZERO)
        val prefix = CompletableFuture.supplyAsync { addRouteAt(moment, version = 2) }
        gateway.start()
        assertServed(prefix.get(), moment)
    }

    /** Drops the history until the gateway's next watch begins before it, so that it reads the whole store. */
    private fun forceRead() {
        val earlierCalls = store.callPaths.size
        Polling.until {
            store.put("zz/0", "")
            store.compactHistory()
            store.callPaths.drop(earlierCalls).any { it.startsWith(READ_PATH) }
        }
    }

    /** Adds a route at [moment] of a read that begins from now on and returns its prefix. */
    private fun addRouteAt(moment: Moment, version: Long): String {
        val earlierCalls = store.callPaths.size
        val isReached = Polling.until(POLL_MILLIS) {
            store.callPaths.drop(earlierCalls).count { it.startsWith(READ_PATH) } >= moment.page
        }
        assertTrue(isReached, "the gateway did not read page ${moment.page}")
        Thread.sleep(moment.later.inWholeMilliseconds)
        val prefix = "/added-$version/"
        val routes = DrillOperator.FIRST.routes.put(prefix, "desk")
        store.put(OperatorSystem.KEY, DrillOperator.FIRST.copy(version = version, routes = routes).toJson())
        return prefix
    }

    private fun assertServed(prefix: String, moment: Moment) {
        Thread.sleep(DrillBounds.configApply.inWholeMilliseconds)
        assertEquals(200, caller.callRoute(1, prefix)?.status, "added at $moment")
    }

    /** A time [later] than the arrival of the call for the page with the number [page]. */
    private data class Moment(val page: Int, val later: Duration)

    private companion object {
        /** Makes three pages. */
        const val OTHER_ITEMS = 1_100
        const val READ_PATH = "/-/kv-range"
        const val POLL_MILLIS = 2L
        val PAGE_DELAY = 150.milliseconds
        val moments = (2..3).map { Moment(it, Duration.ZERO) } +
            listOf(0, 100, 300).map { Moment(page = 3, PAGE_DELAY + it.milliseconds) }
    }
}
