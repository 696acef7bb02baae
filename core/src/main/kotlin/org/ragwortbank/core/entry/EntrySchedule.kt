package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.routing.RendezvousSelector
import org.ragwortbank.core.routing.UpstreamSelector
import org.ragwortbank.core.tick.Schedule

/** The systems of an entry, in the order in which they run; [policy] chooses upstreams. */
fun entrySchedule(
    policy: UpstreamSelector = RendezvousSelector(),
): Schedule<EntryTables, EntryInput, EntryEffect> =
    Schedule(
        persistentListOf(
            MembershipSystem(),
            ConfigurationSystem(),
            EpochSystem(),
            AdmissionSystem(),
            HomeSystem(),
            HandoverSystem(),
            LeaveSystem(),
            SweepSystem(),
            CreditGrantSystem(),
            CreditAskSystem(),
            AnswerSystem(),
            ContactSystem(),
            ClaimSystem(),
            DispatchSystem(policy),
            DrainSystem(),
        ),
    )
