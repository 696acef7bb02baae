package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Orders the engine to load adapters that waiting runs need, and to drop idle ones to make room. */
class PlacementSystem(private val order: QueueOrder) : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val answered = tick.inputs.fold(step) { s, input ->
            when (input) {
                is SidecarInput.LoadCompleted -> loaded(s, input, tick.now)
                is SidecarInput.UnloadCompleted -> unloaded(s, input, tick.now)
                else -> s
            }
        }
        val engine = answered.tables.settings.kind == UpstreamKind.ENGINE
        return if (engine && answered.tables.queue.isNotEmpty()) place(answered, tick.now) else answered
    }

    private fun loaded(step: SidecarStep, input: SidecarInput.LoadCompleted, now: Timestamp): SidecarStep =
        when (input.failure) {
            null ->
                step
                    .log(LogPart.PLACEMENT, "adapter ${input.adapter} is resident")
                    .put(input.adapter, AdapterRow(AdapterState.RESIDENT, now))
            else -> loadFailed(step, input.adapter, input.failure, now)
        }

    private fun loadFailed(
        step: SidecarStep,
        adapter: AdapterRef,
        failure: LoadFailure,
        now: Timestamp,
    ): SidecarStep {
        val waiting = step.tables.queue.filter { step.tables.runs[it]?.command?.adapter == adapter }
        val failed = step
            .log(LogPart.PLACEMENT, "load of adapter $adapter failed: $failure, ${waiting.size} runs are refused")
            .put(adapter, AdapterRow(AdapterState.FAILED, now))
        val detail = "load of $adapter failed: $failure"
        return waiting.fold(failed) { s, id -> s.refuseQueued(id, ResultCode.ADAPTER_LOAD_FAILED, detail) }
    }

    private fun unloaded(step: SidecarStep, input: SidecarInput.UnloadCompleted, now: Timestamp): SidecarStep =
        when {
            input.succeeded -> step.update { it.copy(adapters = it.adapters.remove(input.adapter)) }
            else -> step.put(input.adapter, AdapterRow(AdapterState.RESIDENT, now))
        }

    private fun place(step: SidecarStep, now: Timestamp): SidecarStep {
        val wanted = order.order(step.tables.queue.mapNotNull { step.tables.runs[it] }, step.tables)
            .mapNotNull { it.command.adapter }
            .distinct()
        return wanted
            .filterNot { isPlaced(step.tables, it) }
            .fold(step) { s, adapter -> want(s, adapter, wanted, now) }
    }

    private fun isPlaced(tables: SidecarTables, adapter: AdapterRef): Boolean =
        when (tables.adapters[adapter]?.state) {
            AdapterState.RESIDENT, AdapterState.LOADING, AdapterState.UNLOADING -> true
            AdapterState.FAILED, null -> false
        }

    private fun want(step: SidecarStep, adapter: AdapterRef, wanted: List<AdapterRef>, now: Timestamp): SidecarStep {
        val tables = step.tables
        val row = tables.adapters[adapter]
        val resting = row?.state == AdapterState.FAILED && now - row.changedAt < tables.settings.loadBackoff
        val loads = tables.adapters.values.count { it.state == AdapterState.LOADING }
        val free = tables.settings.slots - tables.adapters.values.count { it.takesSlot }
        val fencingToken = tables.fencingToken
        return when {
            resting || fencingToken == null -> step
            free > 0 && loads < tables.settings.maxLoads -> load(step, adapter, fencingToken, now)
            free > 0 -> step
            else -> evictFor(step, adapter, wanted, fencingToken, now)
        }
    }

    private fun load(step: SidecarStep, adapter: AdapterRef, fencingToken: Long, now: Timestamp): SidecarStep =
        step
            .log(LogPart.PLACEMENT, "loads adapter ${adapter.adapter} version ${adapter.version}: a run waits for it")
            .put(adapter, AdapterRow(AdapterState.LOADING, now))
            .emit(SidecarEffect.LoadAdapter(adapter, fencingToken))

    /** Drops the adapter that was idle for longest, unless as many are being dropped as runs can make use of. */
    private fun evictFor(
        step: SidecarStep,
        adapter: AdapterRef,
        wanted: List<AdapterRef>,
        fencingToken: Long,
        now: Timestamp,
    ): SidecarStep {
        val rows = step.tables.adapters
        val leaving = rows.values.count { it.state == AdapterState.UNLOADING }
        val victim = rows.entries.filter { it.value.evictable && it.key !in wanted }.minByOrNull { it.value.usedAt }
        return when {
            victim == null || leaving >= step.tables.settings.maxLoads -> step
            else ->
                step
                    .log(LogPart.PLACEMENT, "drops idle adapter ${victim.key} to make room for $adapter")
                    .put(victim.key, victim.value.copy(state = AdapterState.UNLOADING, changedAt = now))
                    .emit(SidecarEffect.UnloadAdapter(victim.key, fencingToken))
        }
    }

    private fun SidecarStep.put(adapter: AdapterRef, row: AdapterRow): SidecarStep =
        update { it.copy(adapters = it.adapters.put(adapter, row)) }
}
