package org.ragwortbank.core.pressure

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.gateway.CancelCause
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.fail
import org.ragwortbank.core.gateway.isCatchingUp
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestKind
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Keeps the table of answers that callers haven't taken, and ends some of them before the process holds too much.
 *
 * After a suspension of the process the table begins anew: what callers have taken meanwhile isn't known yet.
 */
class PressureSystem(
    private val policy: UpstreamPolicy,
    private val order: CutOrder = MostForLongest(),
) : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val measured = tick.inputs.filterIsInstance<GatewayInput.HeldBytesMeasured>().lastOrNull()
        val isInForce = Feature.PRESSURE in step.tables.settings.features
        return when {
            step.tables.isCatchingUp(tick.now) -> step.update { it.copy(held = persistentMapOf()) }
            measured == null || !isInForce -> step
            else -> handle(step, measured.measures, tick.now)
        }
    }

    private fun handle(
        step: GatewayStep,
        measures: PersistentMap<RequestNumber, HeldMeasure>,
        now: Timestamp,
    ): GatewayStep {
        val rows = measures.entries.fold(persistentMapOf<RequestNumber, HeldRow>()) { result, (number, measure) ->
            val row = step.tables.held[number]?.after(measure, now) ?: HeldRow.first(number, measure, now)
            result.put(number, row)
        }
        val decision = decide(rows.values, step.tables.settings.pressure, now, order)
        val afterCuts = decision.cuts.entries.fold(step) { result, (number, reason) ->
            cut(result, rows.getValue(number), reason, now)
        }
        return afterCuts
            .update { it.copy(held = rows.after(decision)) }
            .let { decision.readLimits.entries.fold(it, ::readOn) }
    }

    private fun PersistentMap<RequestNumber, HeldRow>.after(decision: PressureDecision) =
        decision.cuts.keys.fold(this) { rows, number -> rows.remove(number) }
            .let { kept ->
                decision.readLimits.entries.fold(kept) { rows, (number, limit) ->
                    rows.put(number, rows.getValue(number).copy(readLimitBytes = limit))
                }
            }

    private fun readOn(step: GatewayStep, limit: Map.Entry<RequestNumber, Long>): GatewayStep =
        step.emit(GatewayEffect.SetReadLimit(limit.key, limit.value))

    private fun cut(step: GatewayStep, held: HeldRow, reason: CutReason, now: Timestamp): GatewayStep {
        val row = step.tables.requests[held.number]
        val name = row?.call?.id ?: "number ${held.number.value}"
        val idleMillis = (now - held.progressAt).inWholeMilliseconds
        val text = "${reason.label}: ${held.measure.bytes} bytes not taken, none for $idleMillis ms"
        val cutStep = step
            .log(LogPart.ANSWER, "request $name: the caller reads too slowly, $text")
            .emit(GatewayEffect.CutAnswer(held.number, reason))
        return if (row == null) cutStep else cutStep.endRequest(row, text, now)
    }

    /** Non-repeatable work that was sent runs to completion, as after the caller has left. */
    private fun GatewayStep.endRequest(row: RequestRow, text: String, now: Timestamp): GatewayStep {
        if (row.route.kind == RequestKind.NON_IDEMPOTENT || row.upstream == null) return this
        return emit(GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.SLOW_CALLER))
            .update { policy.recordOutcome(it, row, AttemptOutcome.Abandoned, now) }
            .fail(row, ResultCode.ANSWER_BROKEN, text, null)
    }
}
