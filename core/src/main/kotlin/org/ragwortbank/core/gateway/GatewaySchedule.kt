package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.locality.DomainLossSystem
import org.ragwortbank.core.locality.EvacuationSystem
import org.ragwortbank.core.pacing.ColdSystem
import org.ragwortbank.core.pacing.PaceSystem
import org.ragwortbank.core.pressure.PressureSystem
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.selection.defaultUpstreamPolicy
import org.ragwortbank.core.speed.SpeedSystem
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.versions.HeldAnswerSystem
import org.ragwortbank.core.versions.StreamRecordSystem
import org.ragwortbank.core.versions.TakeUpSystem
import org.ragwortbank.core.versions.VersionSystem

/** The systems of a gateway in the order in which they run; [policy] selects the upstreams. */
fun gatewaySchedule(
    policy: UpstreamPolicy = defaultUpstreamPolicy(),
): Schedule<GatewayTables, GatewayInput, GatewayEffect> =
    Schedule(
        persistentListOf(
            SuspensionSystem(),
            SettingsSystem(),
            StoreSystem(),
            VersionSystem(),
            ColdSystem(),
            EvacuationSystem(),
            DigestIntakeSystem(),
            UpstreamNoticeSystem(),
            CrashSystem(),
            AttemptSystem(policy),
            PressureSystem(policy),
            AdmissionSystem(),
            BlockSystem(),
            CancellationSystem(policy),
            DomainLossSystem(),
            PaceSystem(),
            SpeedSystem(),
            TakeUpSystem(),
            RoutingSystem(policy),
            StreamRecordSystem(),
            HeldAnswerSystem(),
            DemandSystem(),
            PeerSystem(),
            DrainSystem(),
        ),
    )
