package org.ragwortbank.core.tick

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus

/** The tables after some systems have run, with the effects that those systems decided on, in order. */
data class Step<T, E>(
    val tables: T,
    val effects: PersistentList<E> = persistentListOf(),
) {
    /** This step with [effect] added. */
    fun emit(effect: E): Step<T, E> = copy(effects = effects.add(effect))

    /** This step with all of [newEffects] added. */
    fun emitAll(newEffects: Iterable<E>): Step<T, E> = copy(effects = effects + newEffects)

    /** This step with the tables replaced by the result of [change]. */
    inline fun update(change: (T) -> T): Step<T, E> = copy(tables = change(tables))
}
