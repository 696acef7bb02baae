package org.ragwortbank.core.placer

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Orders what the entries wish for, one order at a time.
 *
 * Each order names the number of accepted orders at which it may be carried out, so that one that was lost and comes
 * late, after another was accepted, is refused by the engine. After an order without an answer, the next one waits
 * for a report.
 */
class CommandSystem : TickSystem<PlacerTables, PlacerInput, PlacerEffect> {
    override fun run(tick: Tick<PlacerInput>, step: PlacerStep): PlacerStep {
        val ended = tick.inputs.fold(step) { s, input ->
            if (input is PlacerInput.CommandCompleted) end(s, input, tick.now) else s
        }
        val order = if (ended.tables.pending == null) next(ended.tables, tick.now) else null
        return if (order == null) ended else give(ended, order, tick.now)
    }

    private fun end(step: PlacerStep, input: PlacerInput.CommandCompleted, now: Timestamp): PlacerStep {
        val pending = step.tables.pending?.takeIf { it.number == input.number } ?: return step
        val said = step.log(LogPart.PLACEMENT, "order ${pending.number}, ${pending.order}: ${input.answer}")
        val freed = said.update { it.copy(pending = null, settledAt = now) }
        return when (input.answer) {
            CommandOutcome.ACCEPTED -> freed.update { it.carriedOut(pending.order, now) }
            CommandOutcome.HOLDS,
            CommandOutcome.CONFLICT,
            CommandOutcome.REFUSED,
            CommandOutcome.UNKNOWN,
            -> freed.awaitReport(now)
        }
    }

    /** No order may be given before the next report tells what the engine holds. */
    private fun PlacerStep.awaitReport(now: Timestamp): PlacerStep =
        update { it.copy(report = null, askedAt = now, awaitingReport = true) }.emit(PlacerEffect.RequestReport)

    private fun PlacerTables.carriedOut(order: EngineCommand, now: Timestamp): PlacerTables {
        val known = report ?: return this
        val counted = known.copy(sequence = known.sequence + 1)
        return when (order) {
            is EngineCommand.LoadAdapter -> copy(
                report = counted.copy(coming = known.coming.put(order.adapter, order.version ?: 0)),
                lastUsed = lastUsed.put(order.adapter, now),
            )
            is EngineCommand.DropAdapter -> copy(report = counted.copy(holds = known.holds.remove(order.adapter)))
            is EngineCommand.LoadModel -> copy(report = counted.copy(busy = true))
        }
    }

    private fun next(tables: PlacerTables, now: Timestamp): EngineCommand? {
        val report = tables.report
        val engine = tables.engineSpec()
        val missing = engine?.models?.keys?.firstOrNull()?.takeIf { report?.models?.isEmpty() == true }
        return when {
            report == null || engine == null || tables.stopping || report.busy -> null
            missing != null -> EngineCommand.LoadModel(missing)
            else -> adapterOrder(tables, report, engine, now)
        }
    }

    private fun adapterOrder(
        tables: PlacerTables,
        report: EngineReport,
        engine: EngineSpec,
        now: Timestamp,
    ): EngineCommand? {
        val wish = tables.wishes().firstOrNull { it.isOpen(report) } ?: return null
        val replaces = wish.adapter in report.holds
        return when {
            report.coming.size >= tables.settings.maxComing -> null
            replaces || report.placesLeft(engine) > 0 -> EngineCommand.LoadAdapter(wish.adapter, wish.version)
            else -> tables.leastUsed(report, now)?.let { EngineCommand.DropAdapter(it) }
        }
    }

    private fun give(step: PlacerStep, order: EngineCommand, now: Timestamp): PlacerStep {
        val tables = step.tables
        val report = tables.report
        val upstream = tables.upstream
        if (report == null || upstream == null) return step
        val number = tables.orderNumber + 1
        val state = "at ${report.sequence}, holds ${report.holds.size}"
        return step
            .log(LogPart.PLACEMENT, "order $number to $upstream $state: $order")
            .emit(PlacerEffect.SendCommand(upstream, order, number, report.sequence))
            .update { it.copy(pending = PendingCommand(order, number, now), orderNumber = number) }
    }
}
