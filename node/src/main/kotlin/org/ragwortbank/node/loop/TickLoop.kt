package org.ragwortbank.node.loop

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Step
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.time.Duration

/**
 * Runs the systems of a process over its tables whenever inputs have arrived, and at least once per [maxIdleWait].
 *
 * One thread runs all ticks and performs their effects, each with the time of its tick. While there is no input, the
 * thread blocks.
 */
class TickLoop<T, I, E>(
    schedule: Schedule<T, I, E>,
    initial: T,
    private val maxIdleWait: Duration,
    private val observer: TickObserver,
    private val perform: (E, Timestamp) -> Unit,
) {
    private val guarded = GuardedSchedule(schedule, observer)
    private val inbox = LinkedBlockingQueue<I>(INBOX_CAPACITY)
    private val currentTables = AtomicReference(initial)
    private val tickThread = thread(start = false, name = "tick") { run() }

    /** The tables after the last tick. */
    val tables: T get() = currentTables.get()

    fun start() = tickThread.start()

    /** Stops the loop by interrupting its thread. */
    fun stop() = tickThread.interrupt()

    /** Adds an input, blocking while the inbox is full; must not be called on the tick thread, which empties it. */
    fun post(input: I) = inbox.put(input)

    /** Adds an input without blocking; returns false if the inbox is full. */
    fun offer(input: I): Boolean = inbox.offer(input)

    private fun run() {
        try {
            while (true) tick()
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun tick() {
        val firstInput = inbox.poll(maxIdleWait.inWholeMicroseconds, TimeUnit.MICROSECONDS)
        val inputs = buildList {
            if (firstInput != null) add(firstInput)
            inbox.drainTo(this, MAX_FURTHER_INPUTS)
        }
        val startNanos = System.nanoTime()
        val step = guarded.run(Tick(Timestamp(startNanos), inputs.toPersistentList()), currentTables.get())
        commit(step, Timestamp(startNanos))
        observer.onTick(inputs.size, System.nanoTime() - startNanos)
    }

    private fun commit(step: Step<T, E>, decidedAt: Timestamp) {
        currentTables.set(step.tables)
        performAll(step.effects, observer) { perform(it, decidedAt) }
    }

    private companion object {
        const val INBOX_CAPACITY = 65_536
        const val MAX_FURTHER_INPUTS = 1_024
    }
}
