package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Commands the engine to load adapters that waiting runs need, and to unload idle ones to free slots. */
class PlacementSystem(private val queueOrder: QueueOrder) : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val updated = tick.inputs.fold(step) { current, input ->
            when (input) {
                is SidecarInput.LoadCompleted -> handleLoadCompleted(current, input, tick.now)
                is SidecarInput.UnloadCompleted -> handleUnloadCompleted(current, input, tick.now)
                else -> current
            }
        }
        val isEngine = updated.tables.settings.kind == UpstreamKind.ENGINE
        return if (isEngine && updated.tables.queue.isNotEmpty()) requestLoads(updated, tick.now) else updated
    }

    private fun handleLoadCompleted(
        step: SidecarStep,
        input: SidecarInput.LoadCompleted,
        now: Timestamp,
    ): SidecarStep =
        when (input.failure) {
            null ->
                step
                    .log(LogPart.PLACEMENT, "adapter ${input.adapter} is resident")
                    .putAdapter(input.adapter, AdapterRow(AdapterState.RESIDENT, now))
            else -> handleLoadFailure(step, input.adapter, input.failure, now)
        }

    private fun handleLoadFailure(
        step: SidecarStep,
        adapter: AdapterRef,
        failure: LoadFailure,
        now: Timestamp,
    ): SidecarStep {
        val waitingRuns = step.tables.queue.filter { step.tables.runs[it]?.command?.adapter == adapter }
        val marked = step
            .log(LogPart.PLACEMENT, "load of adapter $adapter failed: $failure, ${waitingRuns.size} runs refused")
            .putAdapter(adapter, AdapterRow(AdapterState.FAILED, now))
        val detail = "load of $adapter failed: $failure"
        return waitingRuns.fold(marked) { current, id ->
            current.refuseQueued(id, ResultCode.ADAPTER_LOAD_FAILED, detail)
        }
    }

    private fun handleUnloadCompleted(
        step: SidecarStep,
        input: SidecarInput.UnloadCompleted,
        now: Timestamp,
    ): SidecarStep =
        when {
            input.succeeded -> step.update { it.copy(adapters = it.adapters.remove(input.adapter)) }
            else -> step.putAdapter(input.adapter, AdapterRow(AdapterState.RESIDENT, now))
        }

    private fun requestLoads(step: SidecarStep, now: Timestamp): SidecarStep {
        val wantedAdapters = queueOrder.sort(step.tables.queue.mapNotNull { step.tables.runs[it] }, step.tables)
            .mapNotNull { it.command.adapter }
            .distinct()
        return wantedAdapters
            .filterNot { isPresentOrPending(step.tables, it) }
            .fold(step) { current, adapter -> requestLoad(current, adapter, wantedAdapters, now) }
    }

    private fun isPresentOrPending(tables: SidecarTables, adapter: AdapterRef): Boolean =
        when (tables.adapters[adapter]?.state) {
            AdapterState.RESIDENT, AdapterState.LOADING, AdapterState.UNLOADING -> true
            AdapterState.FAILED, null -> false
        }

    private fun requestLoad(
        step: SidecarStep,
        adapter: AdapterRef,
        wantedAdapters: List<AdapterRef>,
        now: Timestamp,
    ): SidecarStep {
        val tables = step.tables
        val row = tables.adapters[adapter]
        val isBackingOff = row?.state == AdapterState.FAILED && now - row.stateChangedAt < tables.settings.loadBackoff
        val loadsInProgress = tables.adapters.values.count { it.state == AdapterState.LOADING }
        val freeSlots = tables.settings.slots - tables.adapters.values.count { it.occupiesSlot }
        val fencingToken = tables.fencingToken
        return when {
            isBackingOff || fencingToken == null -> step
            freeSlots > 0 && loadsInProgress < tables.settings.maxLoads -> load(step, adapter, fencingToken, now)
            freeSlots > 0 -> step
            else -> evictToMakeRoom(step, adapter, wantedAdapters, fencingToken, now)
        }
    }

    private fun load(step: SidecarStep, adapter: AdapterRef, fencingToken: Long, now: Timestamp): SidecarStep =
        step
            .log(LogPart.PLACEMENT, "loading adapter ${adapter.name} version ${adapter.version} for a waiting run")
            .putAdapter(adapter, AdapterRow(AdapterState.LOADING, now))
            .emit(SidecarEffect.LoadAdapter(adapter, fencingToken))

    /** Unloads the least recently used idle adapter, unless [SidecarSettings.maxLoads] unloads are in progress. */
    private fun evictToMakeRoom(
        step: SidecarStep,
        adapter: AdapterRef,
        wantedAdapters: List<AdapterRef>,
        fencingToken: Long,
        now: Timestamp,
    ): SidecarStep {
        val adapters = step.tables.adapters
        val unloadsInProgress = adapters.values.count { it.state == AdapterState.UNLOADING }
        val evicted = adapters.entries
            .filter { it.value.isEvictable && it.key !in wantedAdapters }
            .minByOrNull { it.value.lastUsedAt }
        return when {
            evicted == null || unloadsInProgress >= step.tables.settings.maxLoads -> step
            else ->
                step
                    .log(LogPart.PLACEMENT, "unloading idle adapter ${evicted.key} to free a slot for $adapter")
                    .putAdapter(evicted.key, evicted.value.copy(state = AdapterState.UNLOADING, stateChangedAt = now))
                    .emit(SidecarEffect.UnloadAdapter(evicted.key, fencingToken))
        }
    }

    private fun SidecarStep.putAdapter(adapter: AdapterRef, row: AdapterRow): SidecarStep =
        update { it.copy(adapters = it.adapters.put(adapter, row)) }
}
