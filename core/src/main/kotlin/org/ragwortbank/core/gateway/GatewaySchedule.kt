package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Schedule

/** The systems of a gateway, in the order in which they run; [cost] decides between upstreams. */
fun gatewaySchedule(cost: UpstreamCost = ExpectedDelay()): Schedule<GatewayTables, GatewayInput, GatewayEffect> =
    Schedule(
        persistentListOf(
            PauseSystem(),
            SettingsSystem(),
            StoreSystem(),
            HearSystem(),
            AttemptSystem(),
            ArrivalSystem(),
            EndSystem(),
            RoutingSystem(cost),
            DemandSystem(),
            PeerSystem(),
            StopSystem(),
        ),
    )
