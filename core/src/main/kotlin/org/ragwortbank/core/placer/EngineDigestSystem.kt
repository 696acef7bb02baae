package org.ragwortbank.core.placer

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Sends the engine's state to the gateways: to those that use or await an adapter when its state changes, to all when
 * the base models change, otherwise at the interval that each gateway has asked for.
 */
class EngineDigestSystem : TickSystem<PlacerTables, PlacerInput, PlacerEffect> {
    override fun run(tick: Tick<PlacerInput>, step: PlacerStep): PlacerStep {
        val report = step.tables.report
        val upstream = step.tables.upstream
        if (report == null || upstream == null) return step
        val recipients = step.tables.gateways.values.filter { isDue(it, report, tick.now) }
        return if (recipients.isEmpty()) step else send(step, report, upstream, recipients, tick.now)
    }

    private fun isDue(row: GatewayRow, report: EngineReport, now: Timestamp): Boolean {
        val sentReport = row.sentReport
        val sentAt = row.sentAt
        return when {
            sentReport == null || sentAt == null || now - sentAt >= row.demand.digestInterval -> true
            sentReport.residentModels != report.residentModels -> true
            else -> hasChangedFor(row, sentReport, report) || missedLoad(row, report, sentAt)
        }
    }

    private fun hasChangedFor(row: GatewayRow, sentReport: EngineReport, report: EngineReport): Boolean =
        sentReport !== report && (row.demand.inUse + row.demand.loadRequests.map { it.adapter }).any {
            sentReport.resident[it] != report.resident[it] || sentReport.loading[it] != report.loading[it]
        }

    /** Whether the gateway still requests an adapter that is resident, because the digest that said so was lost. */
    private fun missedLoad(row: GatewayRow, report: EngineReport, sentAt: Timestamp): Boolean =
        row.receivedAt > sentAt && row.demand.loadRequests.any { request ->
            report.resident[request.adapter]?.let { it >= (request.version ?: 0) } ?: false
        }

    private fun send(
        step: PlacerStep,
        report: EngineReport,
        upstream: UpstreamId,
        recipients: List<GatewayRow>,
        now: Timestamp,
    ): PlacerStep {
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
            usedTokens = report.usedTokens,
            freeSlots = tables.freeSlots(report, now),
            requestedLoads = tables.unmetLoads(report, now).size,
            millisPerToken = tables.speed.millisPerToken(now) ?: 0.0,
        )
        val sentRows = recipients.associate { it.name to it.copy(sentReport = report, sentAt = now) }
        return step
            .emit(PlacerEffect.SendEngineDigest(recipients.map { it.endpoint }.toPersistentList(), digest))
            .update { it.copy(gateways = it.gateways.putAll(sentRows), lastDigestNumber = digest.number) }
    }
}
