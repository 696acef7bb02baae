package org.ragwortbank.core.tick

/**
 * One decision of a process, made over its tables once per tick.
 *
 * A system reads no clock and performs no input or output: equal arguments give equal results.
 */
fun interface TickSystem<T, I, E> {
    /** Applies this system to the tables of [step] and returns them changed, with any new effects. */
    fun run(tick: Tick<I>, step: Step<T, E>): Step<T, E>
}
