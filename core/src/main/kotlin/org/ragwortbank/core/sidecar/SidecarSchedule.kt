package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Schedule

/** The systems of a sidecar, in the order in which they run; [order] is that of the queue. */
fun sidecarSchedule(
    order: QueueOrder = FairOrder(),
): Schedule<SidecarTables, SidecarInput, SidecarEffect> =
    Schedule(
        persistentListOf(
            SidecarDrainSystem(),
            IntakeSystem(),
            RunSystem(),
            ProbeSystem(),
            FencingSystem(),
            PlacementSystem(order),
            StartSystem(order),
            DigestSystem(),
        ),
    )
