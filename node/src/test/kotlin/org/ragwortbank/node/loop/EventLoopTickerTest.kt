package org.ragwortbank.node.loop

import io.netty.channel.DefaultEventLoop
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

class EventLoopTickerTest {
    private val loop = DefaultEventLoop()
    private val ticks = LinkedBlockingQueue<List<String>>()

    @AfterTest
    fun shutDown() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    @Test
    fun `given inputs that can wait, then they take part in the next tick, in their order`() {
        val ticker = startTicker(1.hours)
        loop.execute {
            ticker.postDeferred("first")
            ticker.postDeferred("second")
        }
        loop.execute { ticker.post("third") }
        assertEquals(listOf("first", "second", "third"), nextTick())
    }

    @Test
    fun `given only an input that can wait, then a tick takes place within the longest interval`() {
        val ticker = startTicker(20.milliseconds)
        loop.execute { ticker.postDeferred("first") }
        assertEquals(listOf("first"), generateSequence(::nextTick).first { it.isNotEmpty() })
    }

    @Test
    fun `given tables that want ticks sooner after an input, then the next tick takes place sooner`() {
        val ticker = startTicker(intervals = { if (it == 0) 1.hours else 20.milliseconds })
        loop.execute { ticker.post("first") }
        assertEquals(listOf("first"), nextTick())
        assertEquals(emptyList(), nextTick())
    }

    @Test
    fun `given an input that makes a tick throw, then the other inputs take part in a tick`() {
        val ticker = startTicker(1.hours)
        loop.execute {
            ticker.post(FAILING)
            ticker.post("next")
        }
        assertEquals(listOf("next"), nextTick())
    }

    private fun nextTick(): List<String> = checkNotNull(ticks.poll(10, TimeUnit.SECONDS)) { "no tick within 10 s" }

    private fun startTicker(interval: Duration) = startTicker { interval }

    /** Starts a ticker whose table is the number of inputs so far. */
    private fun startTicker(intervals: (Int) -> Duration): EventLoopTicker<Int, String, Unit> {
        val record = TickSystem<Int, String, Unit> { tick, step ->
            check(FAILING !in tick.inputs)
            ticks.add(tick.inputs.toList())
            step.update { it + tick.inputs.size }
        }
        val ticker = EventLoopTicker<Int, String, Unit>(
            loop = loop,
            schedule = Schedule(persistentListOf(record)),
            initial = 0,
            timing = TickTiming({ Timestamp(System.nanoTime()) }, intervals),
            observer = { _, _ -> },
            perform = { },
        )
        loop.submit { ticker.start() }.get()
        return ticker
    }

    private companion object {
        const val FAILING = "failing"
    }
}
