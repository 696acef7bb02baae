package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects that the process was suspended, and holds back all sends until it has read what arrived meanwhile.
 *
 * After a suspension, requests that arrived are read before the disconnections of their callers.
 */
class SuspensionSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val timeSinceLastTick = step.tables.lastTickAt?.let { tick.now - it }
        val updated = step.update { it.copy(lastTickAt = tick.now) }
        if (timeSinceLastTick == null || timeSinceLastTick < SUSPENSION_THRESHOLD) return updated
        return updated
            .log(LogPart.DRAIN, "process was suspended for $timeSinceLastTick, holding back sends for $CATCH_UP_TIME")
            .update { it.copy(catchUpUntil = tick.now + CATCH_UP_TIME) }
    }

    private companion object {
        /** On an instance that is not overloaded, ticks are at most 50 ms apart. */
        val SUSPENSION_THRESHOLD = 400.milliseconds

        /** Enough for several rounds of the event loop over all connections. */
        val CATCH_UP_TIME = 60.milliseconds
    }
}

/** Whether the process is still reading what arrived while it was suspended. */
internal fun GatewayTables.isCatchingUp(now: Timestamp): Boolean = catchUpUntil?.let { now < it } ?: false
