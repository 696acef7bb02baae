package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/**
 * Notices that the process stood still, and lets it hear what happened meanwhile before it sends anything.
 *
 * After a pause the requests that arrived are read before the news that their callers have left.
 */
class SuspensionSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val timeSinceLastTick = step.tables.lastTickAt?.let { tick.now - it }
        val ticked = step.update { it.copy(lastTickAt = tick.now) }
        if (timeSinceLastTick == null || timeSinceLastTick < SUSPENSION_THRESHOLD) return ticked
        return ticked
            .log(LogPart.DRAIN, "stood still for $timeSinceLastTick, sending nothing for $CATCH_UP_TIME")
            .update { it.copy(catchUpUntil = tick.now + CATCH_UP_TIME) }
    }

    private companion object {
        /** Ticks come every 50 ms at least, on an instance that is not overloaded. */
        val SUSPENSION_THRESHOLD = 400.milliseconds

        /** Enough for several rounds of the event loop over all connections. */
        val CATCH_UP_TIME = 60.milliseconds
    }
}

/** Whether the process is still hearing what happened while it stood still. */
internal fun GatewayTables.isCatchingUp(now: Timestamp): Boolean = catchUpUntil?.let { now < it } ?: false
