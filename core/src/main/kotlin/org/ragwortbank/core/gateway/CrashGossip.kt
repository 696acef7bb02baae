package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.crash.CrashReport
import org.ragwortbank.core.crash.CrashRow
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.crash.SuspectRequests
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val MIN_GOSSIP_TIME = 2.seconds

/** Answers that were on their way before a crash arrive within this time. */
private val SIGN_OF_LIFE_MARGIN = 100.milliseconds
private const val GOSSIP_DIGESTS = 4

/** Keeps a digest within few packets. */
private const val MAX_REPORTS = 4
private const val MAX_REPORTED_TRAITS = 80
private const val MAX_CLEARED_TRAITS = 24

/** Time for which digests repeat what this gateway learned, because any of them may be lost. */
private val GatewayTables.gossipTime: Duration
    get() = maxOf(MIN_GOSSIP_TIME, settings.idlePeerInterval(gatewayCount) * GOSSIP_DIGESTS)

/** What this gateway itself saw of the latest crashes. */
internal fun GatewayTables.crashReports(now: Timestamp): PersistentList<CrashReport> =
    crashes.rows.values
        .filter { row -> !row.isDismissed && row.ownChangedAt?.let { now - it <= gossipTime } ?: false }
        .sortedByDescending { it.at }
        .take(MAX_REPORTS)
        .map { row ->
            CrashReport(row.crash, row.place, now - row.at, row.suspectsToReport(peerDigestNumber))
        }
        .toPersistentList()

/**
 * The suspects of this gateway in the digest after [digestNumber], those first that different requests share. Where
 * they are more than fit, each digest begins where the one before it ended.
 */
private fun CrashRow.suspectsToReport(digestNumber: Long): PersistentMap<CrashTrait, SuspectRequests> {
    val suspects = ownSuspects.entries
        .filter { (trait, _) -> mayBeCausedBy(trait) }
        .sortedBy { (trait, _) -> trait is CrashTrait.Repeat }
    val skipped = if (suspects.size > MAX_REPORTED_TRAITS) digestNumber * MAX_REPORTED_TRAITS % suspects.size else 0
    return (suspects.drop(skipped.toInt()) + suspects)
        .take(MAX_REPORTED_TRAITS)
        .associate { it.key to it.value }
        .toPersistentMap()
}

/** Of [GatewayTables.clearedTraits], those that the other gateways may not know yet. */
internal fun GatewayTables.recentlyClearedTraits(now: Timestamp): PersistentMap<CrashTrait, Timestamp> =
    clearedTraits.filterValues { now - it <= gossipTime }.toPersistentMap()

/** Traits that answers at this gateway have lately cleared of crashes, suspects first, with the time since then. */
internal fun GatewayTables.clearedTraitAges(now: Timestamp): PersistentMap<CrashTrait, Duration> =
    recentlyClearedTraits(now).entries
        .sortedWith(compareBy({ !crashes.isSuspected(it.key) }, { now - it.value }))
        .take(MAX_CLEARED_TRAITS)
        .associate { it.key to now - it.value }
        .toPersistentMap()

/** Blocks that other gateways may not have learned of from the store. */
internal fun GatewayTables.blocksToSpread(now: Timestamp): PersistentSet<CrashTrait> =
    blocks.values.filter { !it.isStored || now - it.since <= gossipTime }.map { it.trait }.toPersistentSet()

/** Whether the other gateways should learn at once of a crash or a block. */
internal val GatewayTables.hasUnsentCrashes: Boolean
    get() = crashes.rows.values.any { isUnsent(it.ownChangedAt) } ||
        blocks.values.any { it.isOwn && isUnsent(it.since) }

/** Whether traits were cleared since the last digest. */
internal val GatewayTables.hasUnsentClearedTraits: Boolean get() = isUnsent(traitsClearedAt)

private fun GatewayTables.isUnsent(changedAt: Timestamp?): Boolean =
    changedAt != null && (peerDigestSentAt == null || changedAt > peerDigestSentAt)

/** Joins what another gateway knows of crashes with what is known here. */
internal fun GatewayStep.receiveCrashReports(digest: PeerDigest, now: Timestamp): GatewayStep {
    val hasNone = digest.crashes.isEmpty() && digest.clearedTraits.isEmpty() && digest.blocks.isEmpty()
    if (hasNone) return this
    val reported = digest.crashes.fold(this) { step, report -> step.update { it.receiveReport(report, now) } }
    val cleared = reported.update { it.receiveClearedTraits(digest.clearedTraits, now) }
    val unknown = digest.blocks.filter { it !in tables.blocks && !tables.isReplaced(it, now) }
    return unknown.fold(cleared) { step, trait ->
        step
            .log(LogPart.CRASHES, "requests with $trait are refused, as gateway ${digest.sender} reports")
            .addBlock(trait, isOwn = false, now)
    }
}

/** An upstream that has answered here after the reported crash did not crash. */
private fun GatewayTables.receiveReport(report: CrashReport, now: Timestamp): GatewayTables {
    val at = now - report.age
    val row = upstreams[report.crash.upstream]
    val isAlive = row?.answeredAt?.let { it > at + SIGN_OF_LIFE_MARGIN } ?: false
    if (isAlive || report.suspects.isEmpty()) return this
    val joined = crashes.update(report.crash, report.place, at) { it.withSuspects(report.suspects, isOwn = false, now) }
    return copy(crashes = joined).scheduleCauseSearch(now)
}

private fun GatewayTables.receiveClearedTraits(ages: Map<CrashTrait, Duration>, now: Timestamp): GatewayTables =
    ages.entries.fold(this) { tables, (trait, age) ->
        tables.copy(crashes = tables.crashes.clear(listOf(trait), now - age))
    }
