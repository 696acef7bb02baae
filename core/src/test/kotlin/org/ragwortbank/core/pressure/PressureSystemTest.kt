package org.ragwortbank.core.pressure

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.CancelCause
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestNumber
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PressureSystemTest {
    private val gateway = GatewayFixture()

    @Test
    fun `given a stream whose caller takes nothing, then it is read on, and cut at the connection's bound`() {
        turnOn()
        val number = relaying("/chat/x")
        measureFor(900.milliseconds, number, bytes = 70_000)
        assertEquals(emptyList(), pressureEffects())
        measureFor(200.milliseconds, number, bytes = 70_000)
        assertEquals(GatewayEffect.SetReadLimit(number, 135_536), pressureEffects().single())
        measureFor(1_200.milliseconds, number, bytes = 135_600)
        assertEquals(GatewayEffect.CutAnswer(number, CutReason.CONNECTION_FULL), pressureEffects().single())
        val cancel = gateway.effects.filterIsInstance<GatewayEffect.CancelAttempt>().single()
        assertEquals(CancelCause.SLOW_CALLER, cancel.cause)
        val refusal = gateway.refusals().single()
        assertEquals(ResultCode.ANSWER_BROKEN, refusal.code)
        assertEquals(Execution.RAN, refusal.execution)
        assertTrue(gateway.tables.requests.isEmpty())
        assertTrue(gateway.tables.upstreams.values.all { it.inFlight == 0 })
    }

    @Test
    fun `given a non-idempotent request whose caller takes nothing, when it is cut, then it runs to its end`() {
        turnOn()
        val number = relaying("/book/x")
        measureFor(3_000.milliseconds, number, bytes = 200_000)
        assertEquals(GatewayEffect.CutAnswer(number, CutReason.CONNECTION_FULL), pressureEffects().last())
        assertTrue(gateway.effects.none { it is GatewayEffect.CancelAttempt })
        assertNotNull(gateway.tables.requests[number])
        gateway.tick(GatewayInput.AnswerCompleted(number, 1))
        assertTrue(gateway.tables.requests.isEmpty())
    }

    @Test
    fun `given an answer that is complete, when its caller takes nothing, then its connection is cut`() {
        turnOn()
        val number = relaying("/look/x")
        gateway.tick(GatewayInput.AnswerCompleted(number, 1))
        val measure = HeldMeasure(500_000, 0, isUpstreamRead = true, isComplete = true)
        repeat(101) { gateway.advance(100.milliseconds, measured(number to measure)) }
        assertEquals(GatewayEffect.CutAnswer(number, CutReason.STALLED), pressureEffects().single())
        assertTrue(gateway.effects.any { it is GatewayEffect.Log && "reads too slowly" in it.line.message })
    }

    @Test
    fun `given callers that took all, then their rows are gone`() {
        turnOn()
        val number = relaying("/chat/x")
        measureFor(200.milliseconds, number, bytes = 70_000)
        assertEquals(setOf(number), gateway.tables.held.keys)
        gateway.tick(measured())
        assertTrue(gateway.tables.held.isEmpty())
    }

    @Test
    fun `given a process that was suspended, then the time without progress counts anew`() {
        turnOn()
        val number = relaying("/look/x")
        gateway.tick(GatewayInput.AnswerCompleted(number, 1))
        val measure = HeldMeasure(500_000, 0, isUpstreamRead = true, isComplete = true)
        gateway.tick(measured(number to measure))
        gateway.suspendFor(11.seconds, measured(number to measure))
        gateway.advance(200.milliseconds, measured(number to measure))
        assertEquals(emptyList(), pressureEffects())
    }

    // The load of the first test, in a deployment that doesn't ask for this.
    @Test
    fun `given a deployment that doesn't ask for it, then nothing is held in the table and nothing is cut`() {
        val number = relaying("/chat/x")
        measureFor(4_000.milliseconds, number, bytes = 500_000)
        assertEquals(emptyList(), pressureEffects())
        assertTrue(gateway.tables.held.isEmpty())
        assertNotNull(gateway.tables.requests[number])
    }

    private fun turnOn() = gateway.tick(
        GatewayInput.SettingsReloaded(
            GatewaySettings(
                features = persistentSetOf(Feature.PRESSURE),
                pressure = PressureLimits(untakenBytes = 1_200_000),
            ),
        ),
    )

    private fun relaying(path: String): RequestNumber {
        val number = gateway.receiveCall(path)
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, AnswerFacts(200, notRun = false, load = null)))
        return number
    }

    /** Measures every 100 ms for [time] that nothing of [bytes] bytes was taken; keeps the effects of all ticks. */
    private fun measureFor(time: Duration, number: RequestNumber, bytes: Long) {
        val end = gateway.now + time
        val isDecided = { pressureEffects().isNotEmpty() }
        gateway.tick()
        while (gateway.now < end && !isDecided()) {
            gateway.advance(100.milliseconds, measured(number to HeldMeasure(bytes, 0, isUpstreamRead = false)))
        }
    }

    private fun measured(vararg measures: Pair<RequestNumber, HeldMeasure>) =
        GatewayInput.HeldBytesMeasured(measures.toMap().toPersistentMap())

    private fun pressureEffects() =
        gateway.effects.filter { it is GatewayEffect.SetReadLimit || it is GatewayEffect.CutAnswer }
}
