package org.ragwortbank.core.tick

/**
 * A function over the tables of a process that runs once per tick and takes one kind of decision.
 *
 * A system reads no clock and performs no I/O, so equal arguments give equal results.
 */
fun interface TickSystem<T, I, E> {
    /** Applies this system to [step] and returns the step with the changed tables and any new effects appended. */
    fun run(tick: Tick<I>, step: Step<T, E>): Step<T, E>
}
