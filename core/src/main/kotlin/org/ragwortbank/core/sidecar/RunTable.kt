package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Timestamp

/** Emits a log line. */
internal fun SidecarStep.log(part: LogPart, message: String): SidecarStep =
    emit(SidecarEffect.Log(LogLine(part, message)))

/** Sends [report] to the entry that dispatched [run], if its link is still open. */
internal fun SidecarStep.sendReport(run: Run, report: SidecarReport): SidecarStep =
    if (run.link == null) this else emit(SidecarEffect.SendReport(run.link, report))

/** Removes a waiting run and reports it as failed and not run. */
internal fun SidecarStep.refuseQueued(id: RunId, code: ResultCode, detail: String = code.meaning): SidecarStep {
    val run = tables.runs[id] ?: return this
    return log(LogPart.PLACEMENT, "run $id refused: ${code.number} $code, not run")
        .update { it.copy(runs = it.runs.remove(id), queue = it.queue.remove(id)) }
        .sendReport(run, SidecarReport.Failed(id, Refusal.notRun(code, detail)))
}

/** Removes a started run and reports it as failed. */
internal fun SidecarStep.failRunning(id: RunId, refusal: Refusal, now: Timestamp): SidecarStep {
    val run = tables.runs[id] ?: return this
    val line = "run $id failed: ${refusal.code.number} ${refusal.code}, ${refusal.execution.label}"
    return log(LogPart.PLACEMENT, line)
        .removeRunning(id, now)
        .sendReport(run, SidecarReport.Failed(id, refusal))
}

/** Removes a started run and no longer counts it as active on its adapter. */
internal fun SidecarStep.removeRunning(id: RunId, now: Timestamp): SidecarStep {
    val run = tables.runs[id] ?: return this
    return update { it.copy(runs = it.runs.remove(id), runningCount = it.runningCount - 1) }
        .update { tables ->
            tables.updateAdapter(run.command.adapter) { it.copy(activeRuns = it.activeRuns - 1, lastUsedAt = now) }
        }
}
