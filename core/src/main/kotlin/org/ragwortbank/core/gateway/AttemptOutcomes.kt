package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val FAILURE_BACKOFF = 400.milliseconds

/** Notes a failed send to [upstream]. */
internal fun GatewayStep.recordFailure(upstream: UpstreamId?, now: Timestamp): GatewayStep =
    changeUpstream(upstream) { it.copy(health = it.health.afterFailure(now, FAILURE_BACKOFF)) }

/** Notes a sound answer of [upstream] that began after [delay]. */
internal fun GatewayTables.recordSuccess(upstream: UpstreamId, delay: Duration): GatewayTables =
    updateUpstream(upstream) { it.copy(health = it.health.afterAnswer(delay)) }

/** Sends nothing new to [upstream] before [until]. */
internal fun GatewayStep.backOff(upstream: UpstreamId?, until: Timestamp): GatewayStep =
    changeUpstream(upstream) { it.copy(health = it.health.copy(blockedUntil = until)) }

/** The upstream of [row] doesn't hold what the request needs, whatever was told before. */
internal fun GatewayStep.recordMissingAdapter(row: RequestRow): GatewayStep =
    changeUpstream(row.upstream) { it.withoutAdapter(row.call.adapterKey) }

/** Whether [row] may still be sent to an upstream that hasn't had it. */
internal fun GatewayTables.hasUntriedUpstream(row: RequestRow, now: Timestamp): Boolean =
    row.triedUpstreams.size < row.route.maxAttempts &&
        upstreamsByService[row.service].orEmpty().any {
            it !in row.triedUpstreams && upstreams[it]?.isAvailable(now) == true
        }

/** [row] waiting again after a send that never left this process, which doesn't count as a try of its upstream. */
internal fun GatewayTables.requeueUnsent(row: RequestRow): GatewayTables {
    val tried = row.upstream?.let { row.triedUpstreams.remove(it) } ?: row.triedUpstreams
    return releaseUpstream(row).put(row.copy(stage = RequestStage.Waiting(), triedUpstreams = tried))
}

private fun GatewayStep.changeUpstream(upstream: UpstreamId?, change: (UpstreamRow) -> UpstreamRow): GatewayStep =
    if (upstream == null) this else update { it.updateUpstream(upstream, change) }
