package org.ragwortbank.node.loop

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Step
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.node.log.Logs

/**
 * Runs a [schedule] so that an input that makes one of its systems throw is dropped, and the process goes on with the
 * tables as they were and with all other inputs.
 */
internal class GuardedSchedule<T, I, E>(
    private val schedule: Schedule<T, I, E>,
    private val observer: TickObserver,
) {
    /** Runs one tick over [tables]; if that throws, one tick for each of its inputs. */
    fun run(tick: Tick<I>, tables: T): Step<T, E> = attempt(tick, tables) ?: runOneByOne(tick, tables)

    private fun runOneByOne(tick: Tick<I>, tables: T): Step<T, E> =
        tick.inputs.fold(Step(tables)) { step, input ->
            val next = attempt(Tick(tick.now, persistentListOf(input)), step.tables)
            if (next == null) step else Step(next.tables, step.effects.addAll(next.effects))
        }

    @Suppress("TooGenericExceptionCaught")
    private fun attempt(tick: Tick<I>, tables: T): Step<T, E>? =
        try {
            schedule.run(tick, tables)
        } catch (e: Exception) {
            observer.onTickFailed()
            Logs.platform.error("tick failed with inputs ${kindsOf(tick.inputs)}", e)
            null
        }

    /** Only the kinds: an input may hold what must not be logged. */
    private fun kindsOf(inputs: List<I>): String =
        inputs.take(MAX_LOGGED_INPUTS).joinToString { it?.let { input -> input::class.simpleName } ?: "null" }

    private companion object {
        const val MAX_LOGGED_INPUTS = 10
    }
}

/** Performs each of [effects]; one that fails is logged, and the others are performed nevertheless. */
@Suppress("TooGenericExceptionCaught")
internal fun <E> performAll(effects: List<E>, observer: TickObserver, perform: (E) -> Unit) =
    effects.forEach { effect ->
        try {
            perform(effect)
        } catch (e: Exception) {
            observer.onTickFailed()
            Logs.platform.error("effect ${effect?.let { it::class.simpleName }} failed", e)
        }
    }
