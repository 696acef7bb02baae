package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.routing.RendezvousSelector
import org.ragwortbank.core.routing.UpstreamSelector
import org.ragwortbank.core.tick.Schedule

/** The systems of an entry in the order in which they run each tick; [policy] chooses upstreams. */
fun entrySchedule(
    policy: UpstreamSelector = RendezvousSelector(),
): Schedule<EntryTables, EntryInput, EntryEffect> =
    Schedule(
        persistentListOf(
            MembershipSystem(),
            ConfigurationSystem(),
            EpochSystem(),
            AdmissionSystem(),
            BucketOwnerSystem(),
            HandoverSystem(),
            DrainHandoverSystem(),
            TimeoutSystem(),
            CreditAllocationSystem(),
            CreditRequestSystem(),
            AnswerSystem(),
            DisconnectSystem(),
            ClaimSystem(),
            DispatchSystem(policy),
            DrainSystem(),
        ),
    )
