package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Queues runs that entries dispatch, and cancels runs on an entry's command or after its link has closed. */
class EntryCommandSystem : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep =
        tick.inputs.fold(step) { current, input ->
            when (input) {
                is SidecarInput.LinkOpened ->
                    current.update { it.copy(links = it.links.add(input.link), lastSentDigest = null) }
                is SidecarInput.LinkClosed -> handleLinkClosed(current, input.link)
                is SidecarInput.EntryCommandReceived -> handleCommand(current, input, tick.now)
                else -> current
            }
        }

    private fun handleCommand(
        step: SidecarStep,
        input: SidecarInput.EntryCommandReceived,
        now: Timestamp,
    ): SidecarStep =
        when (val command = input.command) {
            is SidecarCommand.Dispatch -> handleDispatch(step, input.link, command, now)
            is SidecarCommand.Cancel -> handleCancel(step, command.run)
        }

    private fun handleDispatch(
        step: SidecarStep,
        link: LinkId,
        command: SidecarCommand.Dispatch,
        now: Timestamp,
    ): SidecarStep {
        val tables = step.tables
        val id = command.run
        return when {
            id in tables.runs -> step.log(LogPart.LINKS, "run $id dispatched a second time, ignored")
            tables.isDrainGraceOver(now) -> refuseDispatch(step, link, id, ResultCode.DRAINING)
            tables.queue.size >= tables.settings.maxQueued -> refuseDispatch(step, link, id, ResultCode.QUEUE_FULL)
            else -> step.update { enqueue(it, Run(command, link, now)) }
        }
    }

    private fun SidecarTables.isDrainGraceOver(now: Timestamp): Boolean =
        stoppingSince != null && now - stoppingSince > settings.drainGrace

    private fun enqueue(tables: SidecarTables, run: Run): SidecarTables {
        val id = run.command.run
        return tables.copy(runs = tables.runs.put(id, run), queue = tables.queue.add(id))
    }

    private fun refuseDispatch(step: SidecarStep, link: LinkId, id: RunId, code: ResultCode): SidecarStep =
        step
            .log(LogPart.PLACEMENT, "run $id refused: ${code.number} $code, not run")
            .emit(SidecarEffect.SendReport(link, SidecarReport.Failed(id, Refusal.notRun(code))))

    private fun handleCancel(step: SidecarStep, id: RunId): SidecarStep {
        val run = step.tables.runs[id]
        return when {
            run == null -> step
            !run.isRunning ->
                step.refuseQueued(id, ResultCode.QUEUE_TIMEOUT, "cancelled by the entry before it started")
            run.command.isIdempotent -> step.emit(SidecarEffect.CancelRun(id))
            else -> step.log(LogPart.PLACEMENT, "run $id not cancelled: it has started and is not idempotent")
        }
    }

    private fun handleLinkClosed(step: SidecarStep, link: LinkId): SidecarStep {
        val orphanedRuns = step.tables.runs.values.filter { it.link == link }
        return orphanedRuns
            .fold(step) { current, run -> abandonRun(current, run) }
            .update { it.copy(links = it.links.remove(link)) }
    }

    private fun abandonRun(step: SidecarStep, run: Run): SidecarStep {
        val id = run.command.run
        return when {
            !run.isRunning -> step.update { it.copy(runs = it.runs.remove(id), queue = it.queue.remove(id)) }
            else -> handleCancel(step, id).update { it.copy(runs = it.runs.put(id, run.copy(link = null))) }
        }
    }
}
