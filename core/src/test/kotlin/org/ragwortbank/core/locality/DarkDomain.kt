package org.ragwortbank.core.locality

import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A gateway before plain upstreams, [sizeA] in domain `a` and [sizeB] in domain `b`. Connections to a domain that is
 * dark fail after [CONNECT_TIMEOUT]; others answer after [ANSWER_TIME].
 */
internal class DarkDomain(
    private val sizeA: Int = 4,
    private val sizeB: Int = 4,
    isAskedFor: Boolean = true,
) {
    val gateway = GatewayFixture()
    private val registrations: Map<UpstreamId, UpstreamRegistration> = placed().associateBy { it.id }
    private var due = emptyList<Pair<Timestamp, GatewayInput>>()
    private var dark = emptySet<UpstreamId>()

    /** The domains of all attempts so far with their times. */
    var attempts = emptyList<Pair<Timestamp, FailureDomain>>()
        private set

    /** How often idle connections were closed. */
    var closings = 0
        private set

    init {
        val features = if (isAskedFor) persistentSetOf(Feature.PLACES) else persistentSetOf()
        gateway.tick(GatewayInput.SettingsReloaded(GatewaySettings(features = features)))
        registrations.values.forEach { gateway.applyChanges(StoreChange.UpstreamRegistered(it)) }
    }

    val lost: Set<FailureDomain> get() = gateway.tables.lostDomains.keys

    /** Makes exactly [domains] dark, and the upstreams [failing] in others. */
    fun darken(domains: Set<FailureDomain>, failing: Set<UpstreamId> = emptySet()) {
        dark = registrations.values.filter { it.domain in domains }.map { it.id }.toSet() + failing
    }

    /** Plays [time] with a request every [REQUEST_INTERVAL]; the store confirms the configuration all the while. */
    fun play(time: Duration) {
        val end = gateway.now + time
        while (gateway.now < end) {
            gateway.confirmConfiguration()
            recordEffects()
            gateway.receiveCall("/look/x")
            recordEffects()
            gateway.advance(REQUEST_INTERVAL)
            recordEffects()
            deliverDue()
        }
    }

    /** Sends one request and returns the domain that gets it; it is never answered. */
    fun sendOne(): FailureDomain {
        gateway.receiveCall("/look/x")
        return domainOf(gateway.sentAttempts().single())
    }

    fun remove(domain: FailureDomain) =
        registrations.values.filter { it.domain == domain }.forEach {
            gateway.applyChanges(StoreChange.UpstreamRemoved(it.id))
        }

    fun attemptsAt(domain: FailureDomain, since: Timestamp): Int =
        attempts.count { (at, where) -> where == domain && at >= since }

    private fun recordEffects() {
        closings += gateway.effects.count { it is GatewayEffect.CloseIdleConnections }
        gateway.sentAttempts().forEach { attempt ->
            val domain = domainOf(attempt)
            attempts = attempts + (gateway.now to domain)
            due = due + outcomes(attempt, attempt.upstream in dark)
        }
    }

    private fun outcomes(attempt: UpstreamAttempt, isDark: Boolean): List<Pair<Timestamp, GatewayInput>> {
        val number = attempt.attemptNumber
        val failed = gateway.now + CONNECT_TIMEOUT
        val answered = gateway.now + ANSWER_TIME
        val facts = AnswerFacts(status = 200, notRun = false, load = null)
        return when {
            isDark -> listOf(failed to GatewayInput.AttemptNotSent(attempt.number, number, "dark"))
            else -> listOf(
                answered to GatewayInput.AnswerHeadReceived(attempt.number, number, facts),
                answered to GatewayInput.AnswerCompleted(attempt.number, number),
            )
        }
    }

    private fun deliverDue() {
        val (now, later) = due.partition { (at, _) -> at <= gateway.now }
        due = later
        now.forEach { (_, input) ->
            gateway.tick(input)
            recordEffects()
        }
    }

    private fun domainOf(attempt: UpstreamAttempt): FailureDomain = checkNotNull(registrations[attempt.upstream]).domain

    private fun placed(): List<UpstreamRegistration> =
        (1..sizeA + sizeB).map { index ->
            val domain = if (index <= sizeA) DOMAIN_A else DOMAIN_B
            gateway.registration("desk-$index", GatewayFixture.DESK).copy(domain = domain)
        }

    companion object {
        val REQUEST_INTERVAL = 20.milliseconds
        val ANSWER_TIME = 40.milliseconds
        val CONNECT_TIMEOUT = 300.milliseconds
    }
}
