package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Drains the process after a stop request; the digest then reports that no more work is accepted.
 *
 * The drain ends when no runs are left, but not before the drain grace is over, or at the drain timeout.
 */
class SidecarDrainSystem : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val request = tick.inputs.firstNotNullOfOrNull { it as? SidecarInput.StopRequested }
        val isNew = request != null && !step.tables.isStopping
        val updated = if (isNew) startDrain(step, tick.now - request.requestedAgo) else step
        return if (isDrainOver(updated.tables, tick.now)) updated.emit(SidecarEffect.Stopped) else updated
    }

    private fun startDrain(step: SidecarStep, requestedAt: Timestamp): SidecarStep =
        step
            .log(LogPart.DRAIN, "stop requested with ${step.tables.runs.size} runs under way")
            .update { it.copy(stoppingSince = requestedAt) }

    private fun isDrainOver(tables: SidecarTables, now: Timestamp): Boolean {
        val drainStartedAt = tables.stoppingSince ?: return false
        val elapsed = now - drainStartedAt
        return elapsed > tables.settings.drainTimeout || elapsed > tables.settings.drainGrace && tables.runs.isEmpty()
    }
}
