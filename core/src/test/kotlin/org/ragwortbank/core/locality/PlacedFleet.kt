package org.ragwortbank.core.locality

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.selection.defaultUpstreamPolicy
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamRegistration

internal val DOMAIN_A = FailureDomain("a")
internal val DOMAIN_B = FailureDomain("b")

/** A gateway before two engines and two plain upstreams, the first of each in domain `a`, the others in domain `b`. */
internal class PlacedFleet(policy: UpstreamPolicy = defaultUpstreamPolicy()) {
    val gateway = GatewayFixture(policy = policy)
    val registrations: List<UpstreamRegistration> = listOf(
        placed(gateway.registration("engine-1", GatewayFixture.ENGINES), DOMAIN_A),
        placed(gateway.registration("engine-2", GatewayFixture.ENGINES), DOMAIN_B),
        placed(gateway.registration("desk-1", GatewayFixture.DESK), DOMAIN_A),
        placed(gateway.registration("desk-2", GatewayFixture.DESK), DOMAIN_B),
    )

    init {
        registrations.forEach { gateway.applyChanges(StoreChange.UpstreamRegistered(it)) }
    }

    fun evacuate(domain: FailureDomain, isValueReadable: Boolean = true) =
        gateway.applyChanges(StoreChange.DomainEvacuated(domain, isValueReadable))

    fun lift(domain: FailureDomain) = gateway.applyChanges(StoreChange.EvacuationLifted(domain))

    /** Reads the store's whole contents, of which [more] are a part. */
    fun readAll(vararg more: StoreChange) {
        val upstreams = registrations.map { StoreChange.UpstreamRegistered(it) }
        val contents = listOf(StoreChange.ConfigSet(gateway.config())) + upstreams + more
        gateway.tick(GatewayInput.StoreRead(contents.toPersistentList(), gateway.now))
    }

    /** The domains of the upstreams that the latest effects send to. */
    fun sentDomains(): List<FailureDomain> =
        gateway.sentAttempts().mapNotNull { attempt ->
            registrations.firstOrNull { it.id == attempt.upstream }?.domain
        }

    /** The domains that get [count] requests which are all under way at the same time. */
    fun requestsInParallel(count: Int): Set<FailureDomain> {
        val sent = (1..count).map { gateway.receiveCall("/look/x") to sentDomains().single() }
        sent.forEach { (number, _) -> gateway.tick(GatewayInput.AnswerCompleted(number, 1)) }
        return sent.map { it.second }.toSet()
    }

    fun logLines(): List<String> =
        gateway.effects.filterIsInstance<GatewayEffect.Log>().map { it.line.message }

    private fun placed(registration: UpstreamRegistration, domain: FailureDomain): UpstreamRegistration =
        registration.copy(domain = domain)

    companion object {
        val EITHER = setOf(DOMAIN_A, DOMAIN_B)
    }
}
