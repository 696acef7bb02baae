package org.ragwortbank.core.storecopy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.PeerRow
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.tick.Timestamp

/** Whether the store came back from an older copy since it was last read. */
internal fun GatewayTables.isOfNewEra(position: StorePosition): Boolean =
    storePosition.era > 0 && position.era > storePosition.era

/**
 * The tables before the first read of an older copy with [contents] at [position]: what it lacks is expected to be
 * written again, and what it says of upstreams that have left or restarted since is known to be out of date.
 */
internal fun GatewayStep.enterCopy(
    contents: PersistentList<StoreChange>,
    position: StorePosition,
    now: Timestamp,
): GatewayStep {
    val registrations = contents.mapNotNull { (it as? StoreChange.UpstreamRegistered)?.registration }
    val current = registrations.map { it.id }.toSet()
    val peers = contents.mapNotNull { (it as? StoreChange.PeerRegistered)?.name }.toSet()
    val copy = StoreCopyRow(
        readAt = now,
        missingUpstreams = tables.upstreams.keys.filter { it !in current }.toPersistentSet(),
        missingPeers = tables.peers.values
            .filter { it.isListed && it.name !in peers }
            .map { it.name }
            .toPersistentSet(),
    )
    return log(LogPart.MEMBERS, tables.describe(copy, position))
        .update { it.copy(storeCopy = copy).rememberLeaving(registrations, now).withBlocksUnsaved() }
}

private fun GatewayTables.describe(copy: StoreCopyRow, position: StorePosition): String =
    "the store came back from an older copy: at $position, after $storePosition, without " +
        "${copy.missingUpstreams.size} upstreams and ${copy.missingPeers.size} gateways that are known"

/** Of the [contents] of an older copy, what isn't known to be out of date. */
internal fun GatewayTables.withoutOutdated(
    contents: PersistentList<StoreChange>,
    now: Timestamp,
): PersistentList<StoreChange> = contents.filterNot { isOutdated(it, now) }.toPersistentList()

private fun GatewayTables.isOutdated(change: StoreChange, now: Timestamp): Boolean =
    when (change) {
        is StoreChange.UpstreamRegistered -> isOutdated(change.registration)
        is StoreChange.BlockSet -> isLifted(change.trait, now)
        else -> false
    }

/** Whether a later start under the same id is known. */
private fun GatewayTables.isOutdated(registration: UpstreamRegistration): Boolean =
    upstreams[registration.id]?.registration?.let { it.startedMillis > registration.startedMillis } ?: false

/** Whether upstream [id] may still register again in the copy, which lacked it. */
internal fun GatewayTables.isAwaited(id: UpstreamId): Boolean = storeCopy != null && id in storeCopy.missingUpstreams

/** Whether [peer] may still join again in the copy, which lacked it. */
internal fun GatewayTables.isAwaited(peer: PeerRow): Boolean = storeCopy != null && peer.name in storeCopy.missingPeers

/** Notes that [changes] were written to the copy: what they register isn't missing. */
internal fun GatewayTables.notePresent(changes: List<StoreChange>): GatewayTables {
    val copy = storeCopy ?: return this
    val upstreams = changes.mapNotNull { (it as? StoreChange.UpstreamRegistered)?.registration?.id }
    val peers = changes.mapNotNull { (it as? StoreChange.PeerRegistered)?.name }
    val rest = copy.copy(
        missingUpstreams = copy.missingUpstreams.removeAll(upstreams),
        missingPeers = copy.missingPeers.removeAll(peers),
    )
    return copy(storeCopy = rest)
}
