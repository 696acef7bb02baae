package org.ragwortbank.core.placer

import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Sends the engine's state to the gateways: immediately when the resident or loading adapters change, otherwise at
 * regular intervals.
 */
class EngineDigestSystem : TickSystem<PlacerTables, PlacerInput, PlacerEffect> {
    override fun run(tick: Tick<PlacerInput>, step: PlacerStep): PlacerStep {
        val tables = step.tables
        val report = tables.report
        val upstream = tables.upstream
        val previous = tables.lastSentReport
        val hasChanged = report?.resident != previous?.resident || report?.loading != previous?.loading
        val isDue = tables.lastSentAt?.let { tick.now - it >= tables.settings.digestInterval } ?: true
        return when {
            report == null || upstream == null || !(hasChanged || isDue) -> step
            else -> send(step, report, upstream, tick.now)
        }
    }

    private fun send(step: PlacerStep, report: EngineReport, upstream: UpstreamId, now: Timestamp): PlacerStep {
        val tables = step.tables
        val digest = EngineDigest(
            upstream = upstream,
            incarnation = tables.incarnation,
            number = tables.lastDigestNumber + 1,
            resident = report.resident,
            loading = report.loading,
            inUse = tables.inUse,
            residentModels = report.residentModels,
            runningRequests = report.runningRequests,
            queuedRequests = report.queuedRequests,
            freeSlots = tables.freeSlots(report, now),
        )
        return step
            .emitAll(tables.gateways.values.map { PlacerEffect.SendEngineDigest(it.endpoint, digest) })
            .update { it.copy(lastSentReport = report, lastSentAt = now, lastDigestNumber = digest.number) }
    }
}
