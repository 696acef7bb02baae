package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Tries an upstream that is down until it answers, and then learns which adapters it holds. */
class ProbeSystem : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val updated = tick.inputs.fold(step) { current, input ->
            if (input is SidecarInput.UpstreamProbed) handleProbeResult(current, input.resident, tick.now) else current
        }
        return if (isProbeDue(updated.tables, tick.now)) startProbe(updated, tick.now) else updated
    }

    private fun isProbeDue(tables: SidecarTables, now: Timestamp): Boolean {
        val hasIntervalElapsed =
            tables.lastProbedAt == null || now - tables.lastProbedAt >= tables.settings.probeInterval
        return !tables.isUpstreamReachable && !tables.isProbing && hasIntervalElapsed
    }

    private fun startProbe(step: SidecarStep, now: Timestamp): SidecarStep =
        step
            .update { it.copy(isProbing = true, lastProbedAt = now) }
            .emit(SidecarEffect.ProbeUpstream)

    private fun handleProbeResult(
        step: SidecarStep,
        resident: PersistentSet<AdapterRef>?,
        now: Timestamp,
    ): SidecarStep =
        when (resident) {
            null -> step.update { it.copy(isProbing = false, isUpstreamReachable = false) }
            else ->
                step
                    .log(LogPart.PLACEMENT, "upstream answers and holds ${resident.size} adapters")
                    .update {
                        it.copy(
                            isProbing = false,
                            isUpstreamReachable = true,
                            adapters = it.reconcileAdapters(resident, now),
                        )
                    }
        }

    private fun SidecarTables.reconcileAdapters(
        resident: PersistentSet<AdapterRef>,
        now: Timestamp,
    ): PersistentMap<AdapterRef, AdapterRow> {
        val residentRows = resident.associateWith { adapters[it] ?: AdapterRow(AdapterState.RESIDENT, now) }
        val retainedRows = adapters.filterValues { it.state != AdapterState.RESIDENT || it.activeRuns > 0 }
        return (residentRows + retainedRows).toPersistentMap()
    }
}
