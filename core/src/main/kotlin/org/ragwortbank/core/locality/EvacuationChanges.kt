package org.ragwortbank.core.locality

import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.pacing.presumeCold
import org.ragwortbank.core.pacing.restartPace
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.tick.Timestamp

/** Records that a failure domain is emptied; one that is emptied already stays as it is. */
internal fun GatewayStep.evacuate(change: StoreChange.DomainEvacuated, now: Timestamp): GatewayStep {
    val existing = tables.evacuations[change.domain] ?: EvacuationRow(change.domain, now, change.isValueReadable)
    val row = existing.copy(isValueReadable = change.isValueReadable)
    return update { it.copy(evacuations = it.evacuations.put(change.domain, row)) }
}

/** Records that upstreams of [domain] may be used again; they may be cold, and find their pace anew. */
internal fun GatewayStep.liftEvacuation(domain: FailureDomain, now: Timestamp): GatewayStep {
    val row = tables.evacuations[domain] ?: return this
    val upstreams = tables.upstreamsIn(domain).map { it.registration.id }
    val inUse = "failure domain $domain is in use again after ${now - row.learnedAt}, ${upstreams.size} upstreams"
    return log(LogPart.MEMBERS, inUse)
        .update { it.copy(evacuations = it.evacuations.remove(domain)).presumeCold(upstreams, now) }
        .restartPace(upstreams, "its failure domain is in use again", now)
}

/** The evacuations that a read of the store's whole [contents] no longer has. */
internal fun GatewayTables.liftedEvacuations(contents: List<StoreChange>): List<StoreChange.EvacuationLifted> {
    if (evacuations.isEmpty()) return emptyList()
    val listed = contents.mapNotNull { (it as? StoreChange.DomainEvacuated)?.domain }.toSet()
    return evacuations.keys.filter { it !in listed }.map { StoreChange.EvacuationLifted(it) }
}
