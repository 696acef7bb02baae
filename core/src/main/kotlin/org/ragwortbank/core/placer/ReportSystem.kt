package org.ragwortbank.core.placer

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/** Takes over the engine's reports and the entries' demand, and asks for the next report when it is due. */
class ReportSystem : TickSystem<PlacerTables, PlacerInput, PlacerEffect> {
    override fun run(tick: Tick<PlacerInput>, step: PlacerStep): PlacerStep {
        val heard = tick.inputs.fold(step) { s, input -> hear(s, input, tick.now) }
        return ask(heard.update { it.markUsed(tick.now) }, tick.now)
    }

    private fun hear(step: PlacerStep, input: PlacerInput, now: Timestamp): PlacerStep =
        when (input) {
            is PlacerInput.ReportReceived -> take(step, input)
            is PlacerInput.ReportFailed -> lose(step, input.cause)
            is PlacerInput.DemandDigestReceived -> demand(step, input, now)
            is PlacerInput.StopRequested -> step.update { it.copy(stopping = true) }.emit(PlacerEffect.Stopped)
            is PlacerInput.CommandCompleted -> step
        }

    private fun take(step: PlacerStep, input: PlacerInput.ReportReceived): PlacerStep {
        val tables = step.tables
        val early = tables.settledAt?.let { input.askedAt < it } ?: false
        if (tables.pending != null || early) return step.update { it.copy(awaitingReport = false) }
        val said = if (step.tables.answers) step else step.log(LogPart.PLATFORM, "the engine answers")
        return said.update { it.copy(report = input.report, awaitingReport = false, answers = true) }
    }

    private fun lose(step: PlacerStep, cause: String): PlacerStep {
        val said = if (step.tables.answers) step.log(LogPart.PLATFORM, "the engine does not answer: $cause") else step
        return said.update { it.copy(report = null, awaitingReport = false, answers = false) }
    }

    private fun demand(step: PlacerStep, input: PlacerInput.DemandDigestReceived, now: Timestamp): PlacerStep {
        val digest = input.digest
        val known = step.tables.entries[digest.sender]?.demand
        val newer = known == null || digest.incarnation > known.incarnation ||
            (digest.incarnation == known.incarnation && digest.number > known.number)
        if (!newer) return step
        val row = GatewayRow(digest.sender, input.from, digest, now)
        val named = newestUpstream(step.tables, digest.upstream)
        return step.update { it.copy(entries = it.entries.put(digest.sender, row), upstream = named) }
    }

    /** Entries learn of a new incarnation from the instance list at different times; the newest word counts. */
    private fun newestUpstream(tables: PlacerTables, told: UpstreamId): UpstreamId = tables.entries.values
        .filter { it.demand.upstream != told }
        .maxByOrNull { it.heardAt }
        ?.takeIf { tables.upstream == told }
        ?.demand?.upstream
        ?: told

    private fun PlacerTables.markUsed(now: Timestamp): PlacerTables {
        val live = entries.values.filter { now - it.heardAt <= settings.demandLifetime }
        val using: PersistentSet<AdapterKey> = live.flatMap { it.demand.inUse }.toPersistentSet()
        val silent = entries.keys - live.map { it.name }.toSet()
        return copy(
            entries = silent.fold(entries) { all, name -> all.remove(name) },
            used = using,
            lastUsed = using.fold(lastUsed) { all, adapter -> all.put(adapter, now) },
        )
    }

    private fun ask(step: PlacerStep, now: Timestamp): PlacerStep {
        val tables = step.tables
        val due = tables.askedAt?.let { now - it >= interval(tables) } ?: true
        if (tables.pending != null || tables.awaitingReport || !due) return step
        return step.update { it.copy(askedAt = now, awaitingReport = true) }.emit(PlacerEffect.RequestReport)
    }

    private fun interval(tables: PlacerTables): Duration =
        when {
            tables.report == null -> tables.settings.silentReportInterval
            tables.loading -> tables.settings.busyReportInterval
            else -> tables.settings.reportInterval
        }
}
