package org.ragwortbank.core.placer

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Sends the engine the commands that fulfil the gateways' load requests, one command at a time.
 *
 * Each command carries the command sequence at which the engine may execute it, so that the engine refuses a delayed
 * command that arrives after another one was accepted. After any outcome but [CommandOutcome.ACCEPTED], no command is
 * sent before the next report.
 */
class CommandSystem : TickSystem<PlacerTables, PlacerInput, PlacerEffect> {
    override fun run(tick: Tick<PlacerInput>, step: PlacerStep): PlacerStep {
        val updated = tick.inputs.fold(step) { current, input ->
            if (input is PlacerInput.CommandCompleted) complete(current, input, tick.now) else current
        }
        val command = if (updated.tables.pendingCommand == null) nextCommand(updated.tables, tick.now) else null
        return if (command == null) updated else send(updated, command)
    }

    private fun complete(step: PlacerStep, input: PlacerInput.CommandCompleted, now: Timestamp): PlacerStep {
        val pending = step.tables.pendingCommand?.takeIf { it.number == input.number } ?: return step
        val logged = step.log(LogPart.PLACEMENT, "command ${pending.number}, ${pending.command}: ${input.outcome}")
        val completed = logged.update { it.copy(pendingCommand = null, lastCommandCompletedAt = now) }
        return when (input.outcome) {
            CommandOutcome.ACCEPTED -> completed.update { it.withAccepted(pending.command, now) }
            CommandOutcome.HOLDS,
            CommandOutcome.CONFLICT,
            CommandOutcome.REFUSED,
            CommandOutcome.UNKNOWN,
            -> completed.discardReport(now)
        }
    }

    /** Blocks further commands until the next report shows the engine's state. */
    private fun PlacerStep.discardReport(now: Timestamp): PlacerStep =
        update { it.copy(report = null, reportRequestedAt = now, isAwaitingReport = true) }
            .emit(PlacerEffect.RequestReport)

    private fun PlacerTables.withAccepted(command: EngineCommand, now: Timestamp): PlacerTables {
        val previous = report ?: return this
        val advanced = previous.copy(commandSequence = previous.commandSequence + 1)
        return when (command) {
            is EngineCommand.LoadAdapter -> copy(
                report = advanced.copy(loading = previous.loading.put(command.adapter, command.version ?: 0)),
                lastUsedAt = lastUsedAt.put(command.adapter, now),
            )
            is EngineCommand.DropAdapter ->
                copy(report = advanced.copy(resident = previous.resident.remove(command.adapter)))
            is EngineCommand.LoadModel -> copy(report = advanced.copy(isLoadingModel = true))
        }
    }

    private fun nextCommand(tables: PlacerTables, now: Timestamp): EngineCommand? {
        val report = tables.report
        val engine = tables.engine
        val missingModel = engine?.models?.keys?.firstOrNull()?.takeIf { report?.residentModels?.isEmpty() == true }
        return when {
            report == null || engine == null || tables.isStopping || report.isLoadingModel -> null
            tables.evacuationSenders(now).isNotEmpty() -> null
            missingModel != null -> EngineCommand.LoadModel(missingModel)
            else -> nextAdapterCommand(tables, report, engine, now)
        }
    }

    private fun nextAdapterCommand(
        tables: PlacerTables,
        report: EngineReport,
        engine: EngineSpec,
        now: Timestamp,
    ): EngineCommand? {
        val request = tables.unmetLoads(report, now).firstOrNull() ?: return null
        val replacesVersion = request.adapter in report.resident
        return when {
            report.loading.size >= tables.settings.maxLoadingAdapters -> null
            replacesVersion || report.emptySlots(engine) > 0 ->
                EngineCommand.LoadAdapter(request.adapter, request.version)
            else -> tables.leastRecentlyUsed(report, now)?.let { EngineCommand.DropAdapter(it) }
        }
    }

    private fun send(step: PlacerStep, command: EngineCommand): PlacerStep {
        val tables = step.tables
        val report = tables.report
        val upstream = tables.upstream
        val fence = tables.fence
        if (report == null || upstream == null || fence == null) return step
        val number = tables.lastCommandNumber + 1
        val state = "at sequence ${report.commandSequence} with ${report.resident.size} resident adapters, " +
            "fencing token ${fence.token}"
        return step
            .log(LogPart.PLACEMENT, "command $number to $upstream $state: $command")
            .emit(PlacerEffect.SendCommand(upstream, command, number, report.commandSequence, fence.token))
            .update { it.copy(pendingCommand = PendingCommand(command, number), lastCommandNumber = number) }
    }
}
