package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Starts waiting runs whose adapter is resident, up to the maximum number of concurrent runs. */
class RunStartSystem(private val queueOrder: QueueOrder) : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val tables = step.tables
        val freeCapacity = tables.settings.maxRunning - tables.runningCount
        if (freeCapacity <= 0 || tables.queue.isEmpty() || !tables.isUpstreamReachable) return step
        val startable = tables.queue.mapNotNull { tables.runs[it] }.filter { tables.isServable(it.command.adapter) }
        return queueOrder.sort(startable, tables)
            .take(freeCapacity)
            .fold(step) { current, run -> start(current, run, tick.now) }
    }

    private fun start(step: SidecarStep, run: Run, now: Timestamp): SidecarStep {
        val command = run.command
        val waitedMillis = (now - run.receivedAt).inWholeMilliseconds
        return step
            .log(LogPart.PLACEMENT, "run ${command.run} of ${command.account} starts after waiting $waitedMillis ms")
            .update { recordStart(it, run, now) }
            .emit(SidecarEffect.StartRun(command))
    }

    private fun recordStart(tables: SidecarTables, run: Run, now: Timestamp): SidecarTables {
        val id = run.command.run
        val account = run.command.account
        val updated = tables.copy(
            runs = tables.runs.put(id, run.copy(isRunning = true)),
            queue = tables.queue.remove(id),
            runningCount = tables.runningCount + 1,
            fairQueue = tables.fairQueue.recordStart(account, fairQueueCost(run)),
        )
        return updated.updateAdapter(run.command.adapter) { it.copy(activeRuns = it.activeRuns + 1, lastUsedAt = now) }
    }
}
