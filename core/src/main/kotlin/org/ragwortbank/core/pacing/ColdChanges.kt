package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp

/**
 * The tables with [upstreams] taken as cold from [now] on for as long as after a start, since their registrations may
 * say it late; unchanged for services without a bound on cold upstreams.
 */
internal fun GatewayTables.presumeCold(upstreams: Iterable<UpstreamId>, now: Timestamp): GatewayTables =
    upstreams.fold(this) { tables, id ->
        tables.updateUpstream(id) { it.copy(cold = it.cold?.copy(outageAt = now)) }
    }
