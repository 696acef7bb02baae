package org.ragwortbank.core.locality

import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.serving.UpstreamId

/** The requests that wait for one of [upstreams] to load their adapter. */
internal fun GatewayTables.requestsWaitingFor(upstreams: Set<UpstreamId>): List<RequestRow> =
    waiting.mapNotNull { requests[it] }.filter { it.loadingUpstream in upstreams }

/** The tables with the waiting requests [rows] to be routed anew in this tick. */
internal fun GatewayTables.withRerouted(rows: List<RequestRow>): GatewayTables =
    rows.fold(this) { updated, row -> updated.put(row.copy(stage = RequestStage.Waiting())) }

/** The tables with digests due in this tick to the placers of [upstreams] that have load requests of this gateway. */
internal fun GatewayTables.withDigestsDueTo(upstreams: Set<UpstreamId>): GatewayTables =
    copy(
        sentDemand = sentDemand
            .filterNot { (id, sent) -> id in upstreams && sent.loadRequests.isNotEmpty() }
            .toPersistentMap(),
        demandSweptAt = null,
    )
