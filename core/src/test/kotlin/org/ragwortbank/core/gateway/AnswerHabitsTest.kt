package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.AnswerTrait.CONNECTION
import org.ragwortbank.core.gateway.AnswerTrait.CONTENT_TYPE
import org.ragwortbank.core.gateway.AnswerTrait.LOAD
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** What an upstream's successes have in common tells a second answer from one of them. */
class AnswerHabitsTest {
    private val all = persistentSetOf(LOAD, CONNECTION, CONTENT_TYPE)
    private val none = persistentSetOf<AnswerTrait>()

    @Test
    fun `given an upstream that is new, then any success is regular`() = assertFalse(AnswerHabits().isIrregular(none))

    // Guards against deployments whose upstreams tell nothing of themselves, and are refused for it.
    @Test
    fun `given an upstream whose successes have nothing in common, then none is irregular`() =
        assertFalse(habitsAfter(List(20) { none }).isIrregular(none))

    // Guards against a second answer that is taken for a first one.
    @Test
    fun `given any habit, then a success without all of it is irregular`() =
        listOf(all, persistentSetOf(LOAD), persistentSetOf(CONNECTION), persistentSetOf(LOAD, CONNECTION)).forEach {
            assertTrue(habitsAfter(listOf(it)).isIrregular(none), "$it")
        }

    @Test
    fun `given all traits, then a success without one of them is regular, and one with only one is not`() {
        val habits = habitsAfter(listOf(all))
        all.forEach { assertFalse(habits.isIrregular(all.remove(it)), "without $it") }
        all.forEach { assertTrue(habits.isIrregular(persistentSetOf(it)), "with $it") }
    }

    // Guards against an upstream that is refused for ever since it has changed what it tells.
    @Test
    fun `given an upstream that gives up its habits, then a bounded number of successes is refused`() {
        val refused = generateSequence(habitsAfter(List(1_000) { all })) { it.after(none) }
            .takeWhile { it.isIrregular(none) }
            .count()
        assertEquals(8, refused)
    }

    @Test
    fun `given second answers among others, then each of them is irregular`() {
        val habits = habitsAfter(List(20) { listOf(all, none, all) }.flatten())
        assertTrue(habits.isIrregular(none))
        assertFalse(habits.isIrregular(all))
    }

    private fun habitsAfter(successes: List<PersistentSet<AnswerTrait>>) =
        successes.fold(AnswerHabits()) { habits, traits -> habits.after(traits) }
}
