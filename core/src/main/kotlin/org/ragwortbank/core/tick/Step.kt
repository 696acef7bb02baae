package org.ragwortbank.core.tick

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus

/** The tables after some systems of a tick have run, and the effects that these systems emitted, in order. */
data class Step<T, E>(
    val tables: T,
    val effects: PersistentList<E> = persistentListOf(),
) {
    /** Returns this step with [effect] appended. */
    fun emit(effect: E): Step<T, E> = copy(effects = effects.add(effect))

    /** Returns this step with [newEffects] appended. */
    fun emitAll(newEffects: Iterable<E>): Step<T, E> = copy(effects = effects + newEffects)

    /** Returns this step with the tables replaced by the result of [change]. */
    inline fun update(change: (T) -> T): Step<T, E> = copy(tables = change(tables))
}
