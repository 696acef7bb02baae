package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Schedule

/** The systems of a sidecar, in the order in which they run; [queueOrder] sorts waiting runs. */
fun sidecarSchedule(
    queueOrder: QueueOrder = FairQueueOrder(),
): Schedule<SidecarTables, SidecarInput, SidecarEffect> =
    Schedule(
        persistentListOf(
            SidecarDrainSystem(),
            EntryCommandSystem(),
            RunProgressSystem(),
            ProbeSystem(),
            FencingSystem(),
            PlacementSystem(queueOrder),
            RunStartSystem(queueOrder),
            DigestSystem(),
        ),
    )
