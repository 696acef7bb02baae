package org.ragwortbank.core.tick

import kotlinx.collections.immutable.ImmutableList

/** The systems of a process, in the fixed order in which each tick runs them. */
class Schedule<T, I, E>(private val systems: ImmutableList<TickSystem<T, I, E>>) {
    /** Runs one tick: applies all systems to [tables] in order and returns the resulting step. */
    fun run(tick: Tick<I>, tables: T): Step<T, E> =
        systems.fold(Step(tables)) { step, system -> system.run(tick, step) }
}
