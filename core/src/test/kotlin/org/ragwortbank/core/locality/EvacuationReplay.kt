package org.ragwortbank.core.locality

import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.serving.StoreChange
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * A seeded load of chat, booking and look-up requests in virtual time while domains are emptied and taken back, full
 * reads of the store come between, and attempts are lost, rejected or answered.
 */
internal class EvacuationReplay(
    seed: Int,
    policy: UpstreamPolicy,
    private val changesEvacuations: Boolean = true,
) {
    private val random = Random(seed)
    private val fleet = PlacedFleet(policy)
    private val gateway = fleet.gateway
    private var evacuated = emptySet<FailureDomain>()
    private var open = emptyList<UpstreamAttempt>()

    /** Number of sends to each domain that was emptied at that time. */
    var wrongSends = 0
        private set

    /** All sends: request, attempt and upstream. */
    var sends = emptyList<String>()
        private set

    fun play(steps: Int): EvacuationReplay {
        repeat(steps) { playStep(it) }
        return this
    }

    private fun playStep(step: Int) {
        if (step % CHANGE_STEPS == 0) readStore()
        if (step % DIGEST_STEPS == 0) sendDigests()
        repeat(random.nextInt(MAX_ARRIVALS)) { arrive() }
        open.shuffled(random).take(MAX_OUTCOMES).forEach(::endAttempt)
        gateway.advance(random.nextInt(1, MAX_STEP_MILLIS).milliseconds)
        recordSends()
    }

    private fun readStore() {
        if (changesEvacuations) changeEvacuations() else fleet.readAll()
        recordSends()
    }

    private fun changeEvacuations() {
        val domain = listOf(DOMAIN_A, DOMAIN_B).random(random)
        val isLifted = domain in evacuated
        evacuated = if (isLifted) evacuated - domain else evacuated + domain
        when {
            random.nextBoolean() -> fleet.readAll(*evacuated.map { StoreChange.DomainEvacuated(it) }.toTypedArray())
            isLifted -> fleet.lift(domain)
            else -> fleet.evacuate(domain)
        }
    }

    private fun sendDigests() =
        fleet.registrations.filter { it.id.value.startsWith("engine") }.forEach {
            val resident = (0 until ADAPTERS).filter { random.nextBoolean() }.associate { "a$it" to 1L }
            gateway.receiveEngineDigest(it.id, resident)
            recordSends()
        }

    private fun arrive() {
        val path = listOf("/chat/x", "/resume/x", "/book/x", "/look/x").random(random)
        val adapter = "a${random.nextInt(ADAPTERS)}".takeIf { path == "/chat/x" || path == "/resume/x" }
        gateway.receiveCall(path, gateway.call(path, adapter))
        recordSends()
    }

    private fun endAttempt(attempt: UpstreamAttempt) {
        val number = attempt.number
        open = open - attempt
        val input = when (random.nextInt(OUTCOMES)) {
            0 -> GatewayInput.AttemptNotSent(number, attempt.attemptNumber, "refused")
            1 -> GatewayInput.AttemptFailed(number, attempt.attemptNumber, AttemptFailure.ConnectionLost("reset"))
            2 -> GatewayInput.AnswerHeadReceived(number, attempt.attemptNumber, AnswerFacts(503, true, null))
            else -> GatewayInput.AnswerHeadReceived(number, attempt.attemptNumber, AnswerFacts(200, false, null))
        }
        gateway.tick(input)
        recordSends()
        gateway.tick(GatewayInput.AnswerCompleted(number, attempt.attemptNumber))
        recordSends()
    }

    private fun recordSends() {
        val sent = gateway.sentAttempts()
        open = open + sent.filter { it !in open }
        sends = sends + sent.map { "${it.number} ${it.attemptNumber} ${it.upstream}" }
        wrongSends += fleet.sentDomains().count { it in evacuated }
    }

    private companion object {
        const val CHANGE_STEPS = 25
        const val DIGEST_STEPS = 7
        const val MAX_ARRIVALS = 4
        const val MAX_OUTCOMES = 3
        const val MAX_STEP_MILLIS = 40
        const val ADAPTERS = 6
        const val OUTCOMES = 8
    }
}
