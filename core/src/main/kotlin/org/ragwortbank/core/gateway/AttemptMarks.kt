package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val FAILURE_PAUSE = 400.milliseconds

/** Notes a failed send to [upstream]. */
internal fun GatewayStep.blame(upstream: UpstreamId?, now: Timestamp): GatewayStep =
    change(upstream) { it.copy(health = it.health.afterFailure(now, FAILURE_PAUSE)) }

/** Notes a sound answer of [upstream] that began after [delay]. */
internal fun GatewayTables.praise(upstream: UpstreamId, delay: Duration): GatewayTables =
    updateUpstream(upstream) { it.copy(health = it.health.afterAnswer(delay)) }

/** Sends nothing new to [upstream] before [until]. */
internal fun GatewayStep.avoid(upstream: UpstreamId?, until: Timestamp): GatewayStep =
    change(upstream) { it.copy(health = it.health.copy(blockedUntil = until)) }

/** The upstream of [row] doesn't hold what the request needs, whatever was told before. */
internal fun GatewayStep.missing(row: RequestRow): GatewayStep =
    change(row.upstream) { it.withoutAdapter(row.call.adapterKey) }

/** Whether [row] may still be sent to an upstream that hasn't had it. */
internal fun GatewayTables.hasOther(row: RequestRow, now: Timestamp): Boolean =
    row.tried.size < row.route.maxAttempts &&
        upstreamsByService[row.service].orEmpty().any { it !in row.tried && upstreams[it]?.isAvailable(now) == true }

/** [row] waiting again after a send that never left this process, which doesn't count as a try of its upstream. */
internal fun GatewayTables.waitUntried(row: RequestRow): GatewayTables {
    val tried = row.upstream?.let { row.tried.remove(it) } ?: row.tried
    return release(row).put(row.copy(stage = RequestStage.Waiting(), tried = tried))
}

private fun GatewayStep.change(upstream: UpstreamId?, change: (UpstreamRow) -> UpstreamRow): GatewayStep =
    if (upstream == null) this else update { it.updateUpstream(upstream, change) }
