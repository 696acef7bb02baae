package org.ragwortbank.core.versions

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.tick.Timestamp

/** Applies a change of the versions of a service or of a record of streams; unchanged for any other change. */
internal fun GatewayStep.applyVersionChange(change: StoreChange, now: Timestamp): GatewayStep =
    when (change) {
        is StoreChange.VersionsSet -> setVersions(change, now)
        is StoreChange.VersionsRemoved -> removeVersions(change)
        is StoreChange.StreamsRecorded -> updateVersions { it.withRecord(change.record) }
        is StoreChange.StreamRecordRemoved -> updateVersions { it.withoutRecord(change.key) }
        else -> this
    }

private fun GatewayStep.setVersions(change: StoreChange.VersionsSet, now: Timestamp): GatewayStep {
    val known = tables.streamVersions.services[change.service]
    if (known?.revision == change.revision) return this
    val versions = change.versions
    return log(LogPart.MEMBERS, "software versions of ${change.service}: $versions, revision ${change.revision}")
        .updateVersions { all ->
            all.updateService(change.service) { it.withStored(versions, change.revision, now) }
        }
}

private fun GatewayStep.removeVersions(change: StoreChange.VersionsRemoved): GatewayStep {
    val known = tables.streamVersions.services[change.service]
    if (known?.stored == null) return this
    return log(LogPart.MEMBERS, "the store has no software versions of ${change.service} or has changed them unseen")
        .updateVersions { all -> all.updateService(change.service) { it.withoutStored() } }
}

/**
 * Removals of the versions that [contents], a whole read, has at other revisions than those known: what happened
 * between isn't seen, so that the ones in [contents] count as read for the first time.
 */
internal fun GatewayTables.versionsChangedUnseen(contents: List<StoreChange>): List<StoreChange> {
    val revisions = contents.filterIsInstance<StoreChange.VersionsSet>().associate { it.service to it.revision }
    return streamVersions.services.entries
        .filter { (service, row) -> row.stored != null && revisions[service] != row.revision }
        .map { StoreChange.VersionsRemoved(it.key) }
}

/** Removals of the records that [contents], a whole read, lacks. */
internal fun GatewayTables.missingStreamRecords(contents: List<StoreChange>): List<StoreChange> {
    val present = contents.mapNotNull { (it as? StoreChange.StreamsRecorded)?.record?.key }.toSet()
    return streamVersions.records.keys.filter { it !in present }.map { StoreChange.StreamRecordRemoved(it) }
}

/**
 * The tables at [now], when the store came back without what was written in its last seconds: the records of this
 * gateway are saved again, and streams that it knows and that had none are recorded. Recorded streams stay known, also
 * by records that the store has lost; the versions of services count as read for the first time, since revisions tell
 * nothing.
 *
 * @param certain services of which no stream has lost its record
 */
internal fun GatewayTables.afterStoreLoss(
    now: Timestamp,
    certain: PersistentSet<ServiceName> = persistentSetOf(),
): GatewayTables {
    val outbox = streamVersions.outbox
    val unrecorded = streamVersions.begunWithoutRecord()
    return copy(
        streamVersions = streamVersions.withRecordedKnown(now).copy(
            services = streamVersions.services.mapValues { it.value.withoutStored() }.toPersistentMap(),
            undoubted = certain,
            outbox = outbox.copy(
                lost = outbox.saved.values.map { it.record }.toPersistentList(),
                unawaited = outbox.unawaited.putAll(unrecorded),
            ),
        ),
    )
}

/**
 * Services that were settled before and are in [copy], the first read of a store that came back older. What may have
 * been admitted between the two reads can't have begun streams before the second one.
 */
internal fun GatewayTables.settledAcross(copy: GatewayInput.StoreRead): PersistentSet<ServiceName> {
    val readAt = streamVersions.storeReadAt?.takeIf { copy.requestedAt - it <= VersionTimes.STREAM_LEASE }
    if (readAt == null) return persistentSetOf()
    return copy.contents.filterIsInstance<StoreChange.VersionsSet>()
        .filter { it.versions.isSettled && streamVersions.services[it.service]?.stored == it.versions }
        .map { it.service }
        .filter { service ->
            streamVersions.services[service]?.settledAt?.let { readAt - it >= VersionTimes.SETTLE_TIME } ?: false
        }
        .toPersistentSet()
}

internal fun GatewayStep.updateVersions(change: (StreamVersions) -> StreamVersions): GatewayStep =
    update { it.copy(streamVersions = change(it.streamVersions)) }
