package org.ragwortbank.core.locality

import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds failure domains that are likely lost as a whole: several upstreams of one fail within a short time and none of
 * it shows life, while others do. It ends with the first sign of life from the domain, or after a while without a
 * request that fails there. Idle connections there are closed, so that a request that tries the domain opens a new one
 * and has certainly not run if that fails.
 */
class DomainLossSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val isAskedFor = Feature.PLACES in step.tables.settings.features
        val isDue = step.tables.lossSweptAt?.let { tick.now - it >= SWEEP_INTERVAL } ?: true
        return if (isAskedFor && isDue) sweep(step, tick.now) else step
    }

    private fun sweep(step: GatewayStep, now: Timestamp): GatewayStep {
        val failures = step.tables.failuresByDomain(now)
        val reviewed = step.tables.lostDomains.values.fold(step) { current, row ->
            review(current, row, failures[row.domain].orEmpty(), now)
        }
        return failures.entries
            .filter { (domain, _) -> domain !in reviewed.tables.lostDomains }
            .fold(reviewed) { current, (domain, failed) ->
                if (current.tables.isLikelyLost(domain, failed)) begin(current, domain, failed.keys, now) else current
            }
            .update { it.copy(lossSweptAt = now) }
    }

    private fun review(
        step: GatewayStep,
        row: LostDomainRow,
        failures: Map<UpstreamId, Timestamp>,
        now: Timestamp,
    ): GatewayStep {
        val extended = failures.values.maxOrNull()?.let { row.afterFailure(it) } ?: row
        return when {
            step.tables.upstreamsIn(row.domain).any { it.isAliveAfter(row.since) } ->
                end(step, row, "shows life after ${now - row.since}")
            now >= extended.until -> end(step, row, "has not failed for ${LostDomainRow.LIFETIME}, used as before")
            else -> step.update { it.copy(lostDomains = it.lostDomains.put(row.domain, extended)) }
        }
    }

    private fun end(step: GatewayStep, row: LostDomainRow, reason: String): GatewayStep =
        step
            .log(LogPart.MEMBERS, "failure domain ${row.domain} $reason")
            .update { it.copy(lostDomains = it.lostDomains.remove(row.domain)) }

    private fun begin(step: GatewayStep, domain: FailureDomain, failed: Set<UpstreamId>, now: Timestamp): GatewayStep {
        val members = step.tables.upstreamsIn(domain)
        val ids = members.map { it.registration.id }.toSet()
        val moved = step.tables.requestsWaitingFor(ids)
        val effect = "others are preferred for ${LostDomainRow.LIFETIME}, ${moved.size} waiting requests move"
        return step
            .log(LogPart.MEMBERS, "failure domain $domain is likely lost, $failed failed and none answers: $effect")
            .emit(GatewayEffect.CloseIdleConnections(members.map { it.registration.endpoint }.toPersistentSet()))
            .update { it.withRerouted(moved) }
            .update { it.copy(lostDomains = it.lostDomains.put(domain, LostDomainRow(domain, now))) }
    }

    private companion object {
        val SWEEP_INTERVAL = 100.milliseconds
    }
}
