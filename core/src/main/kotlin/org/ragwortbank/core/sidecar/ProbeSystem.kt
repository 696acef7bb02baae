package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Probes an unreachable upstream at the probe interval until it answers.
 *
 * The answer lists the resident adapters; the adapters table is reconciled with it.
 */
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
                    .log(LogPart.PLACEMENT, "upstream reachable, ${resident.size} adapters resident")
                    .update {
                        it.copy(
                            isProbing = false,
                            isUpstreamReachable = true,
                            adapters = it.reconcileAdapters(resident, now),
                        )
                    }
        }

    /** Rows of [resident], and the present rows with a command or runs in progress or a failed load. */
    private fun SidecarTables.reconcileAdapters(
        resident: PersistentSet<AdapterRef>,
        now: Timestamp,
    ): PersistentMap<AdapterRef, AdapterRow> {
        val residentRows = resident.associateWith { adapters[it] ?: AdapterRow(AdapterState.RESIDENT, now) }
        val retainedRows = adapters.filterValues { it.state != AdapterState.RESIDENT || it.activeRuns > 0 }
        return (residentRows + retainedRows).toPersistentMap()
    }
}
