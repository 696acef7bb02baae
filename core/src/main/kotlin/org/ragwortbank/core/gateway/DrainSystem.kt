package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Stops the process: it takes requests until callers are led elsewhere, and ends when all are answered. */
class DrainSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val asked = step.tables.stoppingSince == null && tick.inputs.any { it is GatewayInput.StopRequested }
        val begun = if (asked) begin(step, tick.now) else step
        val age = begun.tables.stoppingSince?.let { tick.now - it } ?: return begun
        val settings = begun.tables.settings
        val idle = begun.tables.requests.isEmpty() && age > settings.drainGrace
        val over = !begun.tables.stopped && (idle || age > settings.drainTimeout)
        return if (over) begun.update { it.copy(stopped = true) }.emit(GatewayEffect.Stopped) else begun
    }

    private fun begin(step: GatewayStep, now: Timestamp): GatewayStep =
        step
            .log(LogPart.DRAIN, "stop asked for with ${step.tables.requests.size} requests")
            .update { it.copy(stoppingSince = now) }
}
