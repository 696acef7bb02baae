package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Stops the process gracefully: asks for no more work, and ends when all accepted work is done. */
class SidecarDrainSystem : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val asked = tick.inputs.any { it is SidecarInput.StopRequested } && !step.tables.stopping
        val begun = if (asked) begin(step, tick.now) else step
        return if (isOver(begun.tables, tick.now)) begun.emit(SidecarEffect.Stopped) else begun
    }

    private fun begin(step: SidecarStep, now: Timestamp): SidecarStep =
        step
            .log(LogPart.DRAIN, "stop asked for with ${step.tables.runs.size} runs")
            .update { it.copy(stoppingSince = now) }

    private fun isOver(tables: SidecarTables, now: Timestamp): Boolean {
        val since = tables.stoppingSince ?: return false
        val age = now - since
        return age > tables.settings.drainTimeout || age > tables.settings.drainGrace && tables.runs.isEmpty()
    }
}
