package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** What the head of an answer may hold beside what belongs to its request. */
enum class AnswerTrait {
    /** The upstream's load. */
    LOAD,

    /** What becomes of the connection: how long it may idle, or that it is closed. */
    CONNECTION,

    /** The type of the body. */
    CONTENT_TYPE,
}

/**
 * Which traits the successes of one incarnation of an upstream have.
 *
 * An upstream that has lost an answer, or whose answer is lost on the way, may write another one later that names the
 * request and its run and still isn't what the run has brought forth. It lacks what the answers of that upstream have.
 *
 * @property balances for each trait, successes that had it less those that hadn't, from 0 to [MOST]
 */
data class AnswerHabits(private val balances: PersistentMap<AnswerTrait, Int> = persistentMapOf()) {
    /** The traits that a success of the upstream is expected to have. */
    val expected: Set<AnswerTrait> get() = balances.filterValues { it > 0 }.keys

    /** Whether a success with [traits] lacks more than half of what is expected. */
    fun isIrregular(traits: Set<AnswerTrait>): Boolean = expected.count { it !in traits } * 2 > expected.size

    /** These habits after a success with [traits], whether it was passed on or not. */
    fun after(traits: PersistentSet<AnswerTrait>): AnswerHabits = AnswerHabits(
        AnswerTrait.entries.associateWith { trait ->
            val change = if (trait in traits) 1 else -1
            ((balances[trait] ?: 0) + change).coerceIn(0, MOST)
        }.toPersistentMap(),
    )

    private companion object {
        /** Bounds how many successes are refused if the upstream gives up a habit. */
        const val MOST = 8
    }
}
