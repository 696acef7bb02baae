package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.tick.Timestamp

private typealias Members = PersistentMap<ServiceName, PersistentSet<UpstreamId>>

/** Takes over what an upstream says of itself; after a start under its id nothing known of it holds. */
internal fun GatewayStep.seeUpstream(entry: UpstreamRegistration): GatewayStep {
    val known = tables.upstreams[entry.id]
    val news = news(known?.entry, entry)
    val said = if (news == null) this else log(LogPart.MEMBERS, "upstream ${entry.id} of ${entry.service} $news")
    return said.update { it.see(known, entry) }
}

/** Forgets an upstream that left the list. */
internal fun GatewayStep.removeUpstream(id: UpstreamId): GatewayStep {
    val row = tables.upstreams[id] ?: return this
    return log(LogPart.MEMBERS, "upstream $id of ${row.entry.service} left the list")
        .update { tables ->
            tables.copy(
                upstreams = tables.upstreams.remove(id),
                members = tables.members.without(row.entry.service, id),
                demand = tables.demand.remove(id),
            )
        }
}

/** Notes another entry. */
internal fun GatewayTables.seePeer(change: StoreChange.PeerRegistered, now: Timestamp): GatewayTables {
    if (change.name == identity.name) return this
    val known = peers[change.name]
    val row = known?.copy(endpoint = change.endpoint, listed = true)
        ?: PeerRow(change.name, change.endpoint, seenAt = now)
    return copy(peers = peers.put(change.name, row))
}

/**
 * Notes that another entry is listed no more. It may go on all the same, as one that is stopping or cut off from the
 * store does, and tell the same totals of use again; so what it told stays known.
 */
internal fun GatewayTables.unlistPeer(name: String): GatewayTables {
    val row = peers[name] ?: return this
    return copy(peers = if (row.heardAt == null) peers.remove(name) else peers.put(name, row.copy(listed = false)))
}

private fun news(known: UpstreamRegistration?, entry: UpstreamRegistration): String? =
    when {
        known == null -> "joined the list at ${entry.endpoint}"
        known.startedMillis != entry.startedMillis -> "started again at ${entry.endpoint}"
        known.isAccepting && !entry.isAccepting -> "is leaving"
        else -> null
    }

private fun GatewayTables.see(known: UpstreamRow?, entry: UpstreamRegistration): GatewayTables {
    val same = known != null && known.entry.startedMillis == entry.startedMillis && known.entry.service == entry.service
    val row = if (same) known.copy(entry = entry) else UpstreamRow(entry, inFlight = known?.inFlight ?: 0)
    val old = known?.entry?.service
    val left = if (old == null || old == entry.service) members else members.without(old, entry.id)
    return copy(
        upstreams = upstreams.put(entry.id, row),
        members = left.put(entry.service, left[entry.service].orNone().add(entry.id)),
    ).supersede(entry)
}

/** Of the upstreams at the place of [entry] all but the one that was born last have ended, listed or not. */
private fun GatewayTables.supersede(entry: UpstreamRegistration): GatewayTables {
    val there = upstreams.values.filter { it.entry.endpoint == entry.endpoint }
    val newest = there.maxOf { it.entry.startedMillis }
    return copy(
        upstreams = there.fold(upstreams) { all, row ->
            all.put(row.entry.id, row.copy(superseded = row.entry.startedMillis < newest))
        },
    )
}

private fun Members.without(service: ServiceName, id: UpstreamId): Members =
    put(service, this[service].orNone().remove(id))

private fun PersistentSet<UpstreamId>?.orNone(): PersistentSet<UpstreamId> = this ?: persistentSetOf()
