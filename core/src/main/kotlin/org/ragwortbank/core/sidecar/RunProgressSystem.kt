package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Forwards the output and the outcome of started runs to their entries. */
class RunProgressSystem : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep =
        tick.inputs.fold(step) { current, input ->
            if (input is SidecarInput.RunEvent) handleEvent(current, input, tick.now) else current
        }

    private fun handleEvent(step: SidecarStep, input: SidecarInput.RunEvent, now: Timestamp): SidecarStep {
        val run = step.tables.runs[input.run]
        return if (run == null || !run.isRunning) step else applyEvent(step, run, input, now)
    }

    private fun applyEvent(step: SidecarStep, run: Run, input: SidecarInput.RunEvent, now: Timestamp): SidecarStep =
        when (input) {
            is SidecarInput.RunStarted -> step.sendReport(run, SidecarReport.Started(input.run, input.head))
            is SidecarInput.RunOutputReceived -> forwardChunk(step, run, input)
            is SidecarInput.RunCompleted -> completeRun(step, run, input, now)
            is SidecarInput.RunFailed -> failOrRequeue(step, run, input.failure, now)
        }

    private fun forwardChunk(step: SidecarStep, run: Run, input: SidecarInput.RunOutputReceived): SidecarStep =
        step
            .update { it.copy(runs = it.runs.put(input.run, run.copy(chunksSent = run.chunksSent + 1))) }
            .sendReport(run, SidecarReport.Chunk(input.run, run.chunksSent, input.tokens, input.data))

    private fun completeRun(
        step: SidecarStep,
        run: Run,
        input: SidecarInput.RunCompleted,
        now: Timestamp,
    ): SidecarStep =
        step
            .removeRunning(input.run, now)
            .sendReport(run, SidecarReport.Completed(input.run, run.chunksSent, input.usage))

    private fun failOrRequeue(step: SidecarStep, run: Run, failure: RunFailure, now: Timestamp): SidecarStep {
        val id = run.command.run
        return when (failure) {
            RunFailure.AdapterMissing -> requeue(step, run, now)
            RunFailure.NotConnected -> step.markUpstreamUnreachable().failRunning(id, refusalFor(run, failure), now)
            is RunFailure.WrongAdapter,
            is RunFailure.ErrorStatus,
            is RunFailure.BrokenResponse,
            -> step.failRunning(id, refusalFor(run, failure), now)
        }
    }

    /** Puts a run whose adapter is no longer resident at the head of the queue; the engine has not started it. */
    private fun requeue(step: SidecarStep, run: Run, now: Timestamp): SidecarStep {
        val id = run.command.run
        val waiting = run.copy(isRunning = false)
        return step
            .log(LogPart.PLACEMENT, "adapter ${run.command.adapter} no longer resident, run $id requeued")
            .removeRunning(id, now)
            .update { tables ->
                val adapters = run.command.adapter?.let { tables.adapters.remove(it) } ?: tables.adapters
                val queue = persistentListOf(id).addAll(tables.queue)
                tables.copy(runs = tables.runs.put(id, waiting), queue = queue, adapters = adapters)
            }
    }

    private fun SidecarStep.markUpstreamUnreachable(): SidecarStep = update { it.copy(isUpstreamReachable = false) }
}
