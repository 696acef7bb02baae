package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.serving.RequestNumber
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** An upstream that has lost an answer may write another one, which has nothing of what its answers have. */
class LostAnswerTest {
    private val gateway = GatewayFixture()
    private val regular = persistentSetOf(AnswerTrait.LOAD, AnswerTrait.CONNECTION)

    // Guards against a second answer that is passed on in place of the own one, which was lost.
    @Test
    fun `given upstreams that tell their load, when a success lacks all they tell, then it is never passed on`() {
        answerSome(regular)
        val number = gateway.receiveCall("/book/x")
        gateway.tick(success(number, persistentSetOf()))
        assertTrue(gateway.effects.none { it is GatewayEffect.Relay })
        assertTrue(gateway.effects.any { it is GatewayEffect.CancelAttempt })
        assertEquals(Execution.UNKNOWN, gateway.refusals().single().execution)
    }

    @Test
    fun `given such a success to work that may be repeated, then it is sent elsewhere`() {
        answerSome(regular)
        val number = gateway.receiveCall("/look/x")
        val first = gateway.sentAttempts().single().upstream
        gateway.tick(success(number, persistentSetOf()))
        assertNotEquals(first, gateway.sentAttempts().single().upstream)
    }

    // Guards against sound answers that are refused before anything is known of their upstream.
    @Test
    fun `given new upstreams, or such that tell nothing, then their successes are passed on`() {
        repeat(ROUNDS) {
            val number = gateway.receiveCall("/book/x")
            gateway.tick(success(number, persistentSetOf()))
            assertTrue(gateway.effects.any { it == GatewayEffect.Relay(number, 1) })
            gateway.tick(GatewayInput.AnswerCompleted(number, 1))
        }
    }

    private fun answerSome(traits: PersistentSet<AnswerTrait>) = repeat(ROUNDS) {
        val number = gateway.receiveCall("/book/x")
        gateway.tick(success(number, traits))
        gateway.tick(GatewayInput.AnswerCompleted(number, 1))
    }

    private fun success(number: RequestNumber, traits: PersistentSet<AnswerTrait>) =
        GatewayInput.AnswerHeadReceived(number, 1, AnswerFacts(200, notRun = false, load = null, traits = traits))

    private companion object {
        /** Enough for each upstream to answer at least once. */
        const val ROUNDS = 20
    }
}
