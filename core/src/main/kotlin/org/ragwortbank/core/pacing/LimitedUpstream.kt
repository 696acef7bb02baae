package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.serving.UpstreamId

/** An upstream whose pace limits this gateway to [limit] requests, of which [underWay] are under way. */
data class LimitedUpstream(val id: UpstreamId, val limit: Double, val underWay: Int)

/** Upstreams whose pace has a limit, at most [max] of them. */
fun GatewayTables.limitedUpstreams(max: Int): List<LimitedUpstream> =
    upstreams.values.asSequence()
        .mapNotNull { row -> row.pace?.takeIf { it.phase != PacePhase.FULL }?.let { row to it } }
        .map { (row, pace) -> LimitedUpstream(row.registration.id, pace.limit, row.inFlight) }
        .take(max)
        .toList()

/** Number of upstreams that were cold when the store was read last. */
val GatewayTables.coldUpstreamCount: Int get() = upstreams.values.count { it.cold?.isCold == true }
