package org.ragwortbank.core.locality

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.ranking.DelayTerm
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp

/** Makes upstreams of a failure domain that is likely lost the last choice, except for single requests that try it. */
class LostDomainDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double {
        val registration = upstream.registration
        val isSpared = registration.domain in context.tables.lostDomains && registration.id !in context.trialUpstreams
        return if (isSpared) LAST_CHOICE_MILLIS else 0.0
    }

    private companion object {
        /** Longer than a wait for a slot behind many adapters. */
        const val LAST_CHOICE_MILLIS = 60_000.0
    }
}

/** The upstreams of [service] that a request may be sent to now in order to try their likely lost failure domains. */
internal fun GatewayTables.trialUpstreams(service: ServiceName, now: Timestamp): Set<UpstreamId> =
    lostDomains.values.mapNotNull { trialUpstream(it, service, now) }.toSet()

/** The upstream that has not failed for the longest, as it may be sound; null if a request was sent there just now. */
private fun GatewayTables.trialUpstream(row: LostDomainRow, service: ServiceName, now: Timestamp): UpstreamId? {
    val members = upstreamsIn(row.domain)
    val lastSentAt = members.mapNotNull { it.sentAt }.maxOrNull() ?: row.since
    val isDue = now - maxOf(lastSentAt, row.since) >= LostDomainRow.TRIAL_INTERVAL
    return members
        .filter { isDue && it.registration.service == service && it.isAvailable(now) }
        .minByOrNull { it.failedAt?.nanos ?: Long.MIN_VALUE }
        ?.registration?.id
}
