package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.storecopy.rememberGone
import org.ragwortbank.core.tick.Timestamp

private typealias UpstreamsByService = PersistentMap<ServiceName, PersistentSet<UpstreamId>>

/** Applies an upstream's registration; a new incarnation under the same id invalidates what was known of it. */
internal fun GatewayStep.registerUpstream(registration: UpstreamRegistration): GatewayStep {
    val existing = tables.upstreams[registration.id]
    val change = describeChange(existing?.registration, registration)
    val upstream = "upstream ${registration.id} of ${registration.service}"
    val logged = if (change == null) this else log(LogPart.MEMBERS, "$upstream $change")
    return logged.update { it.withRegistration(existing, registration) }
}

/** Removes an upstream that left the list. */
internal fun GatewayStep.removeUpstream(id: UpstreamId, now: Timestamp): GatewayStep {
    val row = tables.upstreams[id] ?: return this
    return log(LogPart.MEMBERS, "upstream $id of ${row.registration.service} left the list")
        .update { tables ->
            tables.copy(
                upstreams = tables.upstreams.remove(id),
                upstreamsByService = tables.upstreamsByService.without(row.registration.service, id),
                sentDemand = tables.sentDemand.remove(id),
            ).rememberGone(row, now)
        }
}

/** Adds another gateway, or updates its endpoint. */
internal fun GatewayTables.registerPeer(change: StoreChange.PeerRegistered, now: Timestamp): GatewayTables {
    if (change.name == identity.name) return this
    val existing = peers[change.name]
    val row = existing?.copy(endpoint = change.endpoint, isListed = true)
        ?: PeerRow(change.name, change.endpoint, addedAt = now)
    return copy(peers = peers.put(change.name, row), needsFullPeerDigest = needsFullPeerDigest || existing == null)
}

/**
 * Marks another gateway as no longer listed. It may still run, if it is draining or partitioned from the store, and
 * report the same totals again; so its row stays and these are not counted twice.
 */
internal fun GatewayTables.unlistPeer(name: String): GatewayTables {
    val row = peers[name] ?: return this
    val sentNoDigest = row.digestReceivedAt == null
    return copy(peers = if (sentNoDigest) peers.remove(name) else peers.put(name, row.copy(isListed = false)))
}

private fun describeChange(existing: UpstreamRegistration?, registration: UpstreamRegistration): String? =
    when {
        existing == null -> "joined the list at ${registration.endpoint}"
        existing.startedMillis != registration.startedMillis -> "restarted at ${registration.endpoint}"
        existing.isAccepting && !registration.isAccepting -> "is draining"
        else -> null
    }

private fun GatewayTables.withRegistration(existing: UpstreamRow?, registration: UpstreamRegistration): GatewayTables {
    val service = registration.service
    val previous = existing?.registration
    val isSame = previous != null && previous.startedMillis == registration.startedMillis && previous.service == service
    val row = when {
        isSame -> existing.copy(registration = registration)
        else -> newUpstream(registration, existing?.inFlight ?: 0).copy(tokensInFlight = existing?.tokensInFlight ?: 0)
    }
    val previousService = previous?.service
    val isInOtherService = previousService != null && previousService != service
    val updatedServices =
        if (isInOtherService) upstreamsByService.without(previousService, registration.id) else upstreamsByService
    return copy(
        upstreams = upstreams.put(registration.id, row),
        goneUpstreams = goneUpstreams.remove(registration.incarnation),
        sentDemand = if (isSame) sentDemand else sentDemand.remove(registration.id),
        upstreamsByService = updatedServices.put(service, updatedServices[service].orEmptySet().add(registration.id)),
    ).markSuperseded(registration)
}

/**
 * An upstream of which nothing is known yet. It counts as fast as the others of its service, so that it gets its share
 * of the requests: if it crashed of some, they must not all go back to it.
 */
private fun GatewayTables.newUpstream(registration: UpstreamRegistration, inFlight: Int): UpstreamRow {
    val known = upstreamsByService[registration.service].orEmptySet()
        .filter { it != registration.id }
        .mapNotNull { upstreams[it]?.health?.delayMillis }
        .filter { it > 0 }
    val delayMillis = if (known.isEmpty()) 0.0 else known.average()
    return UpstreamRow(
        registration = registration,
        inFlight = inFlight,
        health = UpstreamHealth(delayMillis = delayMillis),
        isLeaving = isKnownToLeave(registration.incarnation),
    )
}

/** Of the upstreams at one endpoint, all but the one that started last have terminated, whether listed or not. */
private fun GatewayTables.markSuperseded(registration: UpstreamRegistration): GatewayTables {
    val sameEndpoint = upstreams.values.filter { it.registration.endpoint == registration.endpoint }
    val newestMillis = sameEndpoint.maxOf { it.registration.startedMillis }
    return copy(
        upstreams = sameEndpoint.fold(upstreams) { updated, row ->
            updated.put(row.registration.id, row.copy(isSuperseded = row.registration.startedMillis < newestMillis))
        },
    )
}

private fun UpstreamsByService.without(service: ServiceName, id: UpstreamId): UpstreamsByService =
    put(service, this[service].orEmptySet().remove(id))

private fun PersistentSet<UpstreamId>?.orEmptySet(): PersistentSet<UpstreamId> = this ?: persistentSetOf()
