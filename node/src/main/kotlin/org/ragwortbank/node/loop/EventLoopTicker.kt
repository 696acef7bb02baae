package org.ragwortbank.node.loop

import io.netty.channel.EventLoop
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.log.Logs
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Clock and interval of the ticks.
 *
 * @property now reads the clock
 * @property maxInterval longest time until the next tick, given the tables after the last one
 */
class TickTiming<T>(
    val now: () -> Timestamp,
    val maxInterval: (T) -> Duration,
)

/**
 * Runs the systems of a process on the thread of its event loop: one tick for all inputs of one iteration of the
 * loop, and at least one per [TickTiming.maxInterval].
 *
 * All functions must be called on that thread, so that inputs, tables and connections need no locks.
 */
class EventLoopTicker<T, I, E>(
    private val loop: EventLoop,
    private val schedule: Schedule<T, I, E>,
    initial: T,
    private val timing: TickTiming<T>,
    private val observer: TickObserver,
    private val perform: (E) -> Unit,
) {
    private var inbox: PersistentList<I> = persistentListOf()
    private var isTickScheduled = false

    /** The tables after the last tick. */
    var tables: T = initial
        private set

    /** Schedules the periodic ticks. */
    fun start() {
        loop.schedule(::periodicTick, timing.maxInterval(tables).inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    /** Adds an input for the next tick. */
    fun post(input: I) {
        inbox = inbox.add(input)
        if (!isTickScheduled) loop.execute(::tick)
        isTickScheduled = true
    }

    private fun periodicTick() {
        tick()
        start()
    }

    /** If the schedule throws, the tables stay unchanged, the inputs are dropped and the process continues. */
    @Suppress("TooGenericExceptionCaught")
    private fun tick() {
        val inputs = inbox
        inbox = persistentListOf()
        isTickScheduled = false
        try {
            tick(inputs)
        } catch (e: RuntimeException) {
            Logs.platform.error("tick with ${inputs.size} inputs failed", e)
        }
    }

    private fun tick(inputs: PersistentList<I>) {
        val startNanos = System.nanoTime()
        val step = schedule.run(Tick(timing.now(), inputs), tables)
        tables = step.tables
        step.effects.forEach(perform)
        observer.onTick(inputs.size, System.nanoTime() - startNanos)
    }
}
