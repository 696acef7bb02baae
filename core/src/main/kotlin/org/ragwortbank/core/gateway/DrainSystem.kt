package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Stops the process: it admits requests during the drain grace, and stops when all are answered or at the time-out. */
class DrainSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val request = tick.inputs.firstNotNullOfOrNull { it as? GatewayInput.StopRequested }
        val isNew = request != null && step.tables.stoppingSince == null
        val draining = if (isNew) beginDrain(step, tick.now - request.requestedAgo) else step
        val elapsed = draining.tables.stoppingSince?.let { tick.now - it } ?: return draining
        val settings = draining.tables.settings
        val isIdle = draining.tables.isIdle && elapsed > settings.drainGrace
        val isOver = !draining.tables.isStopped && (isIdle || elapsed > settings.drainTimeout)
        return if (isOver) draining.update { it.copy(isStopped = true) }.emit(GatewayEffect.Stopped) else draining
    }

    private fun beginDrain(step: GatewayStep, requestedAt: Timestamp): GatewayStep =
        step
            .log(LogPart.DRAIN, "stop requested with ${describeWork(step.tables)}")
            .update { it.copy(stoppingSince = requestedAt) }

    private fun describeWork(tables: GatewayTables): String =
        "${tables.requests.size} requests under way and ${tables.deferredCalls.size} deferred"

    private val GatewayTables.isIdle: Boolean get() = requests.isEmpty() && deferredCalls.isEmpty()
}
