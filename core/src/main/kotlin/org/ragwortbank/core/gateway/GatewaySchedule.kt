package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.selection.defaultUpstreamPolicy
import org.ragwortbank.core.speed.SpeedSystem
import org.ragwortbank.core.tick.Schedule

/** The systems of a gateway in the order in which they run; [policy] selects the upstreams. */
fun gatewaySchedule(
    policy: UpstreamPolicy = defaultUpstreamPolicy(),
): Schedule<GatewayTables, GatewayInput, GatewayEffect> =
    Schedule(
        persistentListOf(
            SuspensionSystem(),
            SettingsSystem(),
            StoreSystem(),
            DigestIntakeSystem(),
            UpstreamNoticeSystem(),
            CrashSystem(),
            AttemptSystem(policy),
            AdmissionSystem(),
            BlockSystem(),
            CancellationSystem(policy),
            SpeedSystem(),
            RoutingSystem(policy),
            DemandSystem(),
            PeerSystem(),
            DrainSystem(),
        ),
    )
