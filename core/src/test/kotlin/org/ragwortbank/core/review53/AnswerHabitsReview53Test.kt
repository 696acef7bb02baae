package org.ragwortbank.core.review53

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.AnswerHabits
import org.ragwortbank.core.gateway.AnswerTrait
import kotlin.test.Test
import kotlin.test.assertEquals

/** Review of issue 53: sound answers of upstreams with few traits that are taken for second ones. */
class AnswerHabitsReview53Test {
    private val none = persistentSetOf<AnswerTrait>()

    // Guards against answers of a service that closes a connection now and then, each of which makes the next irregular.
    @Test
    fun `given an upstream whose only trait is that it closes one connection in ten, then no success is irregular`() =
        assertEquals(0, refusedOf(List(50) { if (it % 10 == 0) persistentSetOf(AnswerTrait.CONNECTION) else none }))

    // Guards against a 204 that is refused because other successes of the service have a body with a type.
    @Test
    fun `given an upstream that answers with and without a body by turns, then no success is irregular`() =
        assertEquals(0, refusedOf(List(50) { if (it % 2 == 0) persistentSetOf(AnswerTrait.CONTENT_TYPE) else none }))

    @Test
    fun `given an upstream of which one success in five has no body, then no success is irregular`() =
        assertEquals(0, refusedOf(List(50) { if (it % 5 == 4) none else persistentSetOf(AnswerTrait.CONTENT_TYPE) }))

    private fun refusedOf(successes: List<PersistentSet<AnswerTrait>>): Int =
        successes.fold(AnswerHabits() to 0) { (habits, refused), traits ->
            habits.after(traits) to refused + if (habits.isIrregular(traits)) 1 else 0
        }.second
}
