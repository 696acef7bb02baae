package org.ragwortbank.core.storecopy

import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.minutes

/** Copies are some seconds old, and the store may be away for a while before it comes back from one. */
private val GONE_MEMORY = 2.minutes

/** An upstream that drains doesn't take requests again before it restarts, though the copy may list it as before. */
internal fun GatewayTables.rememberLeaving(listed: List<UpstreamRegistration>, now: Timestamp): GatewayTables {
    val draining = upstreams.values.filter { !it.registration.isAccepting }.map { it.registration.incarnation }
    val left = listed.map { it.incarnation }.filter { goneUpstreams[it]?.wasLeaving == true }
    val leaving = leavingUpstreams.putAll((draining + left).associateWith { now })
    return draining.fold(copy(leavingUpstreams = leaving)) { tables, incarnation ->
        tables.updateUpstream(incarnation.upstream) { it.copy(isLeaving = true) }
    }
}

/** Of the [contents] of an older copy, the upstreams that were removed from the instance list since. */
internal fun GatewayTables.goneAmong(contents: List<StoreChange>): List<UpstreamIncarnation> =
    contents.mapNotNull { (it as? StoreChange.UpstreamRegistered)?.registration?.incarnation }
        .filter { it in goneUpstreams && upstreams[it.upstream]?.registration?.incarnation != it }

/** Keeps requests from the upstreams [gone], which only an older copy of the store lists. */
internal fun GatewayStep.markGone(gone: List<UpstreamIncarnation>): GatewayStep =
    gone.fold(this) { step, incarnation ->
        step
            .log(LogPart.MEMBERS, "upstream ${incarnation.upstream} is listed by an older copy, but has left the list")
            .update { tables -> tables.updateUpstream(incarnation.upstream) { it.copy(isGone = true) } }
    }

/** Notes that [changes] were written since the copy was read: an upstream that registers then has not gone. */
internal fun GatewayTables.noteWritten(changes: List<StoreChange>): GatewayTables {
    if (storeCopy == null) return this
    return changes.mapNotNull { (it as? StoreChange.UpstreamRegistered)?.registration?.id }
        .fold(this) { tables, id -> tables.updateUpstream(id) { if (it.isGone) it.copy(isGone = false) else it } }
}

/** The tables with the incarnation of [row] among those that have gone. */
internal fun GatewayTables.rememberGone(row: UpstreamRow, now: Timestamp): GatewayTables {
    val recent = goneUpstreams.filterValues { now - it.removedAt < GONE_MEMORY }.toPersistentMap()
    val wasLeaving = !row.registration.isAccepting || row.isLeaving || row.isSuperseded
    return copy(goneUpstreams = recent.put(row.registration.incarnation, GoneUpstream(now, wasLeaving)))
}
