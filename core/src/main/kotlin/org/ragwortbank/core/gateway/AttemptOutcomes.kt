package org.ragwortbank.core.gateway

import org.ragwortbank.core.locality.isPlaceAllowed
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.isVersionAllowed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val FAILURE_BACKOFF = 400.milliseconds

/** Counts a failed attempt at [upstream] and backs off from it. */
internal fun GatewayStep.recordFailure(upstream: UpstreamId?, now: Timestamp): GatewayStep =
    changeUpstream(upstream) { it.copy(health = it.health.afterFailure(now, FAILURE_BACKOFF)) }

/** Resets the failures of [upstream] after an answer that began [delay] after the request was sent. */
internal fun GatewayTables.recordSuccess(upstream: UpstreamId, delay: Duration): GatewayTables =
    updateUpstream(upstream) { it.copy(health = it.health.afterAnswer(delay)) }

/** Sends no new request to [upstream] before [until]. */
internal fun GatewayStep.backOff(upstream: UpstreamId?, until: Timestamp): GatewayStep =
    changeUpstream(upstream) { it.copy(health = it.health.copy(blockedUntil = until)) }

/** Marks the adapter that [row] needs as not resident at its upstream, whatever was reported before. */
internal fun GatewayStep.recordMissingAdapter(row: RequestRow): GatewayStep =
    changeUpstream(row.upstream) { it.withoutAdapter(row.call.adapterKey) }

/** Whether an upstream is available that [row] was not sent to, within the attempts that its route allows. */
internal fun GatewayTables.hasUntriedUpstream(row: RequestRow, now: Timestamp): Boolean =
    row.triedUpstreams.size < row.route.maxAttempts &&
        upstreamsByService[row.service].orEmpty().any {
            it !in row.triedUpstreams && upstreams[it]?.isAvailable(now) == true && isPlaceAllowed(row, it) &&
                isVersionAllowed(row, it, now)
        }

/** Queues [row] again after a send that failed before its first byte; its upstream counts as untried. */
internal fun GatewayTables.requeueUnsent(row: RequestRow): GatewayTables {
    val tried = row.upstream?.let { row.triedUpstreams.remove(it) } ?: row.triedUpstreams
    return releaseUpstream(row).put(row.copy(stage = RequestStage.Waiting(), triedUpstreams = tried))
}

private const val MAX_LOGGED_PARTS = 16

/** How far a lost request was, and what it may have in common with others that were lost at the same upstream. */
internal fun RequestRow.describeLoss(now: Timestamp): String {
    val progress = when (val current = stage) {
        is RequestStage.Relaying -> "${(now - current.beganAt).inWholeMilliseconds} ms into its answer"
        is RequestStage.Sent -> "no answer ${(now - current.sentAt).inWholeMilliseconds} ms after it was sent"
        is RequestStage.Waiting -> "waiting"
    }
    val parts = call.sharedPromptParts.ids().take(MAX_LOGGED_PARTS).toList()
    return "$progress, first prompt parts $parts, fingerprint ${call.fingerprint}, " +
        "adapter ${call.adapterKey}, account $account"
}

/** The present attempt and what its exchange read, by [trace]. */
internal fun RequestRow.describeAttempt(trace: ExchangeTrace?): String = "attempt $attemptCount, ${trace.describe()}"

private fun GatewayStep.changeUpstream(upstream: UpstreamId?, change: (UpstreamRow) -> UpstreamRow): GatewayStep =
    if (upstream == null) this else update { it.updateUpstream(upstream, change) }
