package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Stops the process: it admits requests during the drain grace, and stops when all are answered or at the time-out. */
class DrainSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val isRequested = step.tables.stoppingSince == null && tick.inputs.any { it is GatewayInput.StopRequested }
        val draining = if (isRequested) beginDrain(step, tick.now) else step
        val elapsed = draining.tables.stoppingSince?.let { tick.now - it } ?: return draining
        val settings = draining.tables.settings
        val isIdle = draining.tables.requests.isEmpty() && elapsed > settings.drainGrace
        val isOver = !draining.tables.isStopped && (isIdle || elapsed > settings.drainTimeout)
        return if (isOver) draining.update { it.copy(isStopped = true) }.emit(GatewayEffect.Stopped) else draining
    }

    private fun beginDrain(step: GatewayStep, now: Timestamp): GatewayStep =
        step
            .log(LogPart.DRAIN, "stop requested with ${step.tables.requests.size} requests under way")
            .update { it.copy(stoppingSince = now) }
}
