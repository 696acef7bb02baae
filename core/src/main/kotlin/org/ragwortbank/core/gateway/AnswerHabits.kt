package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** What the head of an answer may hold beside what belongs to its request. */
enum class AnswerTrait {
    /** The upstream's load. */
    LOAD,

    /** How long the connection may idle. */
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
 * @property optional traits that a regular success has lacked
 */
data class AnswerHabits(
    private val balances: PersistentMap<AnswerTrait, Int> = persistentMapOf(),
    private val optional: PersistentSet<AnswerTrait> = persistentSetOf(),
) {
    /** The traits that a success of the upstream is expected to have. */
    val expected: Set<AnswerTrait>
        get() = balances.filterValues { it > 0 }.keys.let { if (it.size == 1) it - optional else it }

    /** Whether a success with [traits], which needs none of the [needless] ones, lacks more than half of the others. */
    fun isIrregular(traits: Set<AnswerTrait>, needless: Set<AnswerTrait> = emptySet()): Boolean {
        val needed = expected - needless
        return needed.count { it !in traits } * 2 > needed.size
    }

    /** These habits after such a success, whether it was passed on or not; what it doesn't need tells nothing. */
    fun after(traits: Set<AnswerTrait>, needless: Set<AnswerTrait> = emptySet()): AnswerHabits {
        val lacked = if (isIrregular(traits, needless)) emptySet() else AnswerTrait.entries - traits - needless
        val changed = (AnswerTrait.entries - needless).associateWith { balanceAfter(it, it in traits) }
        return AnswerHabits(balances.putAll(changed), optional.addAll(lacked))
    }

    private fun balanceAfter(trait: AnswerTrait, isPresent: Boolean): Int =
        ((balances[trait] ?: 0) + (if (isPresent) 1 else -1)).coerceIn(0, MOST)

    private companion object {
        /** Bounds how many successes are refused if the upstream gives up a habit. */
        const val MOST = 8
    }
}
