package org.ragwortbank.core.placer

import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Tells the entries what the engine holds: at once when that changes, else at intervals. */
class EngineDigestSystem : TickSystem<PlacerTables, PlacerInput, PlacerEffect> {
    override fun run(tick: Tick<PlacerInput>, step: PlacerStep): PlacerStep {
        val tables = step.tables
        val report = tables.report
        val upstream = tables.upstream
        val news = report?.holds != tables.told?.holds || report?.coming != tables.told?.coming
        val due = tables.toldAt?.let { tick.now - it >= tables.settings.digestInterval } ?: true
        return when {
            report == null || upstream == null || !(news || due) -> step
            else -> tell(step, report, upstream, tick.now)
        }
    }

    private fun tell(step: PlacerStep, report: EngineReport, upstream: UpstreamId, now: Timestamp): PlacerStep {
        val tables = step.tables
        val digest = EngineDigest(
            upstream = upstream,
            incarnation = tables.incarnation,
            number = tables.digestNumber + 1,
            resident = report.holds,
            loading = report.coming,
            inUse = tables.used,
            residentModels = report.models,
            runningRequests = report.running,
            queuedRequests = report.queued,
            freeSlots = tables.freePlaces(report, now),
        )
        return step
            .emitAll(tables.entries.values.map { PlacerEffect.SendEngineDigest(it.endpoint, digest) })
            .update { it.copy(told = report, toldAt = now, digestNumber = digest.number) }
    }
}
