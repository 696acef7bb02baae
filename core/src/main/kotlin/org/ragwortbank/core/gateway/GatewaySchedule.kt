package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Schedule

/** The systems of a gateway in the order in which they run; [cost] ranks the upstreams. */
fun gatewaySchedule(cost: UpstreamCost = ExpectedDelay()): Schedule<GatewayTables, GatewayInput, GatewayEffect> =
    Schedule(
        persistentListOf(
            SuspensionSystem(),
            SettingsSystem(),
            StoreSystem(),
            DigestIntakeSystem(),
            UpstreamNoticeSystem(),
            CrashSystem(),
            AttemptSystem(),
            AdmissionSystem(),
            BlockSystem(),
            CancellationSystem(),
            RoutingSystem(cost),
            DemandSystem(),
            PeerSystem(),
            DrainSystem(),
        ),
    )
