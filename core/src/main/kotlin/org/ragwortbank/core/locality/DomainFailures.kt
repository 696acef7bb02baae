package org.ragwortbank.core.locality

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.gateway.silentSince
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Failures that are further apart don't show that their upstreams were lost together. */
private val FAILURE_WINDOW = 1.seconds

/** A connection to a lost domain takes longer to fail, so that nothing there has shown life for that long before. */
private val QUIET_BEFORE_FAILURE = 250.milliseconds

/** Upstreams of a domain that must fail; all of it where it has fewer. */
private const val MIN_FAILED = 3

/** One upstream that fails shows nothing of its domain. */
private const val MIN_DOMAIN_SIZE = 2

/**
 * The upstreams of each failure domain at which a request has failed or gone without an answer lately, with the time of
 * that; without those that have answered since.
 */
internal fun GatewayTables.failuresByDomain(now: Timestamp): Map<FailureDomain, Map<UpstreamId, Timestamp>> {
    val silent = requests.values
        .mapNotNull { row -> silentSince(row, now)?.let { row.upstream to it } }
        .toMap()
    return upstreams.values
        .mapNotNull { row -> failureTime(row, silent[row.registration.id], now)?.let { row to it } }
        .groupBy({ (row, _) -> row.registration.domain }, { (row, failedAt) -> row.registration.id to failedAt })
        .mapValues { (_, failures) -> failures.toMap() }
}

private fun failureTime(row: UpstreamRow, silentSince: Timestamp?, now: Timestamp): Timestamp? =
    listOfNotNull(silentSince, row.failedAt)
        .maxOrNull()
        ?.takeIf { now - it <= FAILURE_WINDOW && !row.isAliveAfter(it) }

/**
 * Whether [failed] are enough upstreams of [domain] to conclude that it is lost: around the first of these failures
 * and since then nothing in it has shown life, while an upstream elsewhere that could be used instead has. A gateway
 * that is cut off itself sees no life anywhere and concludes nothing.
 */
internal fun GatewayTables.isLikelyLost(domain: FailureDomain, failed: Map<UpstreamId, Timestamp>): Boolean {
    val members = upstreamsIn(domain).filter { it.isAccepting }
    val firstFailedAt = failed.values.minOrNull()
    return when {
        firstFailedAt == null || members.size < MIN_DOMAIN_SIZE -> false
        failed.size < minOf(MIN_FAILED, members.size) -> false
        members.any { it.isAliveAfter(firstFailedAt - QUIET_BEFORE_FAILURE) } -> false
        else -> isLifeOutside(domain, firstFailedAt)
    }
}

/** Whether an upstream that can be used instead of those in [domain] has shown life after [time]. */
private fun GatewayTables.isLifeOutside(domain: FailureDomain, time: Timestamp): Boolean =
    upstreams.values.any {
        val other = it.registration.domain
        val canReplace = it.isAccepting && other != domain && other !in evacuations && other !in lostDomains
        canReplace && it.isAliveAfter(time)
    }

/** Whether the beginning of an answer, or a digest of the placer with the engine's state, arrived after [time]. */
internal fun UpstreamRow.isAliveAfter(time: Timestamp): Boolean =
    listOfNotNull(answeredAt, digestReceivedAt).any { it > time }
