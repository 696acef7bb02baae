package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Starts waiting runs whose adapter is resident, as many as the upstream may run at once. */
class StartSystem(private val order: QueueOrder) : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val tables = step.tables
        val free = tables.settings.maxRunning - tables.runningCount
        if (free <= 0 || tables.queue.isEmpty() || !tables.upstreamUp) return step
        val servable = tables.queue.mapNotNull { tables.runs[it] }.filter { tables.isServable(it.command.adapter) }
        return order.order(servable, tables).take(free).fold(step) { s, run -> start(s, run, tick.now) }
    }

    private fun start(step: SidecarStep, run: Run, now: Timestamp): SidecarStep {
        val command = run.command
        val waited = (now - run.arrivedAt).inWholeMilliseconds
        return step
            .log(LogPart.PLACEMENT, "run ${command.run} of ${command.account} starts after $waited ms")
            .update { started(it, run, now) }
            .emit(SidecarEffect.StartRun(command))
    }

    private fun started(tables: SidecarTables, run: Run, now: Timestamp): SidecarTables {
        val id = run.command.run
        val account = run.command.account
        val counted = tables.copy(
            runs = tables.runs.put(id, run.copy(running = true)),
            queue = tables.queue.remove(id),
            runningCount = tables.runningCount + 1,
            fairShare = tables.fairShare.start(account, tokensOf(run)),
        )
        return counted.updateAdapter(run.command.adapter) { it.copy(running = it.running + 1, usedAt = now) }
    }
}
