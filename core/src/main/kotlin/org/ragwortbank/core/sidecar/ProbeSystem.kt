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
        val heard = tick.inputs.fold(step) { s, input ->
            if (input is SidecarInput.UpstreamProbed) probed(s, input.resident, tick.now) else s
        }
        return if (isDue(heard.tables, tick.now)) probe(heard, tick.now) else heard
    }

    private fun isDue(tables: SidecarTables, now: Timestamp): Boolean {
        val rested = tables.probedAt == null || now - tables.probedAt >= tables.settings.probeInterval
        return !tables.upstreamUp && !tables.probing && rested
    }

    private fun probe(step: SidecarStep, now: Timestamp): SidecarStep =
        step
            .update { it.copy(probing = true, probedAt = now) }
            .emit(SidecarEffect.ProbeUpstream)

    private fun probed(step: SidecarStep, resident: PersistentSet<AdapterRef>?, now: Timestamp): SidecarStep =
        when (resident) {
            null -> step.update { it.copy(probing = false, upstreamUp = false) }
            else ->
                step
                    .log(LogPart.PLACEMENT, "upstream answers and holds ${resident.size} adapters")
                    .update { it.copy(probing = false, upstreamUp = true, adapters = it.rowsFor(resident, now)) }
        }

    private fun SidecarTables.rowsFor(
        resident: PersistentSet<AdapterRef>,
        now: Timestamp,
    ): PersistentMap<AdapterRef, AdapterRow> {
        val held = resident.associateWith { adapters[it] ?: AdapterRow(AdapterState.RESIDENT, now) }
        val ordered = adapters.filterValues { it.state != AdapterState.RESIDENT || it.running > 0 }
        return (held + ordered).toPersistentMap()
    }
}
