package org.ragwortbank.node.loop

import io.netty.channel.EventLoop
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import java.util.concurrent.ScheduledFuture
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
 * loop that can't wait, and at least one per [TickTiming.maxInterval].
 *
 * All functions must be called on that thread, so that inputs, tables and connections need no locks.
 */
class EventLoopTicker<T, I, E>(
    private val loop: EventLoop,
    schedule: Schedule<T, I, E>,
    initial: T,
    private val timing: TickTiming<T>,
    private val observer: TickObserver,
    private val perform: (E) -> Unit,
) {
    private val guarded = GuardedSchedule(schedule, observer)
    private var inbox: PersistentList<I> = persistentListOf()
    private var isTickScheduled = false
    private var lastTickAt = timing.now()
    private var wakeUp: WakeUp? = null

    /** The tables after the last tick. */
    var tables: T = initial
        private set

    /** Schedules the ticks that take place without an input. */
    fun start() = scheduleWakeUp(timing.now())

    /** Adds an input and lets a tick follow as soon as the loop has handled its present events. */
    fun post(input: I) {
        inbox = inbox.add(input)
        if (!isTickScheduled) loop.execute(::tick)
        isTickScheduled = true
    }

    /** Adds an input that can wait for the next tick, whatever causes that. */
    fun postDeferred(input: I) {
        inbox = inbox.add(input)
    }

    /** Runs a tick if one is due by now or an input waits; other ticks may have taken place since it was scheduled. */
    private fun onWakeUp() {
        wakeUp = null
        val now = timing.now()
        val isDue = now - lastTickAt >= timing.maxInterval(tables)
        if (isDue || inbox.isNotEmpty()) tick() else scheduleWakeUp(lastTickAt)
    }

    /** Schedules a wake-up at most one interval after [tickAt], unless one is scheduled for an earlier time. */
    private fun scheduleWakeUp(tickAt: Timestamp) {
        val at = tickAt + timing.maxInterval(tables)
        val scheduled = wakeUp
        if (scheduled != null && scheduled.at <= at) return
        scheduled?.future?.cancel(false)
        val delay = (at - timing.now()).coerceAtLeast(Duration.ZERO)
        wakeUp = WakeUp(at, loop.schedule(::onWakeUp, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS))
    }

    private fun tick() {
        val inputs = inbox
        inbox = persistentListOf()
        isTickScheduled = false
        val startNanos = System.nanoTime()
        lastTickAt = timing.now()
        val step = guarded.run(Tick(lastTickAt, inputs), tables)
        tables = step.tables
        performAll(step.effects, observer, perform)
        observer.onTick(inputs.size, System.nanoTime() - startNanos)
        scheduleWakeUp(lastTickAt)
    }

    /** A scheduled call of [onWakeUp]. */
    private class WakeUp(val at: Timestamp, val future: ScheduledFuture<*>)
}
