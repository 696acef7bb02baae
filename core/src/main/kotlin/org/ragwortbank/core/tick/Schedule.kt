package org.ragwortbank.core.tick

import kotlinx.collections.immutable.ImmutableList

/** The systems of a process in the fixed order in which every tick runs them. */
class Schedule<T, I, E>(private val systems: ImmutableList<TickSystem<T, I, E>>) {
    /** Runs all systems over [tables] and returns the last step. */
    fun run(tick: Tick<I>, tables: T): Step<T, E> =
        systems.fold(Step(tables)) { step, system -> system.run(tick, step) }
}
