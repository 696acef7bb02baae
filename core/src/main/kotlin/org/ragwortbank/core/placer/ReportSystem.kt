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

/** Applies the engine's reports and the gateways' demand, and requests the next report when it is due. */
class ReportSystem : TickSystem<PlacerTables, PlacerInput, PlacerEffect> {
    override fun run(tick: Tick<PlacerInput>, step: PlacerStep): PlacerStep {
        val updated = tick.inputs.fold(step) { current, input -> receive(current, input, tick.now) }
        return requestReport(updated.update { it.updateUsage(tick.now) }, tick.now)
    }

    private fun receive(step: PlacerStep, input: PlacerInput, now: Timestamp): PlacerStep =
        when (input) {
            is PlacerInput.ReportReceived -> receiveReport(step, input)
            is PlacerInput.ReportFailed -> recordReportFailure(step, input.cause)
            is PlacerInput.DemandDigestReceived -> receiveDemand(step, input, now)
            is PlacerInput.StopRequested -> step.update { it.copy(isStopping = true) }.emit(PlacerEffect.Stopped)
            is PlacerInput.CommandCompleted -> step
        }

    private fun receiveReport(step: PlacerStep, input: PlacerInput.ReportReceived): PlacerStep {
        val tables = step.tables
        val isOutdated = tables.lastCommandCompletedAt?.let { input.requestedAt < it } ?: false
        if (tables.pendingCommand != null || isOutdated) return step.update { it.copy(isAwaitingReport = false) }
        val logged = if (tables.isEngineReachable) step else step.log(LogPart.PLATFORM, "the engine answers")
        val fence = tables.fence?.after(input.report) ?: CommandFence.of(input.report)
        return logged.update {
            it.copy(
                report = input.report,
                fence = fence,
                isAwaitingReport = false,
                isEngineReachable = true,
                speed = it.speed.after(input.report.generating, input.requestedAt),
            )
        }
    }

    private fun recordReportFailure(step: PlacerStep, cause: String): PlacerStep {
        val wasReachable = step.tables.isEngineReachable
        val logged = if (wasReachable) step.log(LogPart.PLATFORM, "the engine does not answer: $cause") else step
        return logged.update { it.copy(report = null, isAwaitingReport = false, isEngineReachable = false) }
    }

    private fun receiveDemand(step: PlacerStep, input: PlacerInput.DemandDigestReceived, now: Timestamp): PlacerStep {
        val digest = input.digest
        val previous = step.tables.gateways[digest.sender]
        val isNewer = previous?.let { digest.stamp.isNewerThan(it.demand.stamp, now - it.receivedAt) } ?: true
        if (!isNewer) return step
        val known = previous?.takeIf { it.demand.incarnation == digest.incarnation }
        val row = known?.copy(endpoint = input.senderEndpoint, demand = digest, receivedAt = now)
            ?: GatewayRow(digest.sender, input.senderEndpoint, digest, now)
        return step
            .update { it.copy(gateways = it.gateways.put(digest.sender, row), engine = digest.engine ?: it.engine) }
            .update { it.copy(upstream = it.latestUpstream()) }
            .logEvacuation(step.tables, now)
    }

    private fun PlacerStep.logEvacuation(before: PlacerTables, now: Timestamp): PlacerStep {
        val senders = tables.evacuationSenders(now)
        val wasEvacuated = before.evacuationSenders(now).isNotEmpty()
        return when {
            wasEvacuated == senders.isNotEmpty() -> this
            wasEvacuated -> log(LogPart.PLACEMENT, "the engine's failure domain is in use again")
            else -> log(LogPart.PLACEMENT, "the engine's failure domain is emptied, says $senders: no commands")
        }
    }

    /**
     * Gateways learn of a new incarnation from the instance list at different times, so their digests may name
     * different upstreams; the one that started last is the one that runs.
     */
    private fun PlacerTables.latestUpstream(): UpstreamId? =
        gateways.values
            .maxWithOrNull(compareBy({ it.demand.upstreamStartedMillis }, { it.receivedAt }))
            ?.demand?.upstream

    private fun PlacerTables.updateUsage(now: Timestamp): PlacerTables {
        val adaptersInUse: PersistentSet<AdapterKey> = currentDemand(now).flatMap { it.inUse }.toPersistentSet()
        val expired = gateways.values.filter { now - it.receivedAt > settings.gatewayLifetime }
        return copy(
            gateways = expired.fold(gateways) { remaining, row -> remaining.remove(row.name) },
            inUse = adaptersInUse,
            lastUsedAt = adaptersInUse.fold(lastUsedAt) { times, adapter -> times.put(adapter, now) },
        )
    }

    private fun requestReport(step: PlacerStep, now: Timestamp): PlacerStep {
        val tables = step.tables
        val isDue = tables.reportRequestedAt?.let { now - it >= reportInterval(tables) } ?: true
        if (tables.pendingCommand != null || tables.isAwaitingReport || !isDue) return step
        return step.update { it.copy(reportRequestedAt = now, isAwaitingReport = true) }
            .emit(PlacerEffect.RequestReport)
    }

    private fun reportInterval(tables: PlacerTables): Duration =
        when {
            tables.report == null -> tables.settings.unresponsiveReportInterval
            tables.isLoading -> tables.settings.loadingReportInterval
            else -> tables.settings.reportInterval
        }
}
