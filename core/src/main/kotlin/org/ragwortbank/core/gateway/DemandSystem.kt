package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.LoadRequest
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends each placer its load requests and the adapters in use: at once for a new load request, at short intervals while
 * the engine is in use, else at intervals that grow with the fleet.
 */
class DemandSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val loadRequests = loadRequestsByUpstream(step.tables, tick.now)
        val isSweepDue = step.tables.demandSweptAt?.let { tick.now - it >= SWEEP_INTERVAL } ?: true
        val candidates = if (isSweepDue) step.tables.upstreams.keys else loadRequests.keys
        val sent = candidates.fold(step) { current, id ->
            sendIfDue(current, id, loadRequests[id].orEmpty(), tick.now)
        }
        return if (isSweepDue) sent.update { it.copy(demandSweptAt = tick.now) } else sent
    }

    private fun loadRequestsByUpstream(tables: GatewayTables, now: Timestamp): Map<UpstreamId, List<LoadRequest>> =
        tables.waiting
            .mapNotNull { tables.requests[it] }
            .filter { it.loadingUpstream != null && it.call.adapterKey != null }
            .groupBy { it.loadingUpstream }
            .entries
            .mapNotNull { (upstream, rows) -> upstream?.let { it to loadRequests(tables, rows, now) } }
            .toMap()

    private fun loadRequests(tables: GatewayTables, rows: List<RequestRow>, now: Timestamp): List<LoadRequest> =
        rows.groupBy { it.call.adapterKey }.entries.mapNotNull { (adapter, waiting) ->
            adapter?.let {
                val longestWait = now - waiting.minOf { row -> row.arrivedAt }
                val rank = waiting.minOf { row -> row.priority }.takeIf { Feature.PRESSURE in tables.settings.features }
                LoadRequest(it, tables.versions[it]?.version, waiting.size, longestWait, rank)
            }
        }

    private fun sendIfDue(
        step: GatewayStep,
        id: UpstreamId,
        requested: List<LoadRequest>,
        now: Timestamp,
    ): GatewayStep {
        val tables = step.tables
        val row = tables.upstreams[id]
        val engine = row?.let { tables.config?.services?.get(it.registration.service)?.engine }
        if (engine == null) return step
        val lastSent = tables.sentDemand[id]
        val hasNew = requested.any { it.adapter !in lastSent?.loadRequests.orEmpty() }
        val isActive = row.isInUse || requested.isNotEmpty() || lastSent?.isActive == true
        val isDue = lastSent == null || now - lastSent.sentAt >= interval(tables, isActive)
        return if (hasNew || isDue) send(step, row, digest(tables, row, engine, requested), now) else step
    }

    private fun interval(tables: GatewayTables, isActive: Boolean): Duration {
        val base = tables.settings.demandDigestInterval
        return if (isActive) base else DigestPacing.idleDemandInterval(base, tables.gatewayCount)
    }

    private fun digest(
        tables: GatewayTables,
        row: UpstreamRow,
        engine: EngineSpec,
        requested: List<LoadRequest>,
    ) = DemandDigest(
        sender = tables.identity.name,
        incarnation = tables.identity.incarnation,
        number = tables.demandDigestNumber + 1,
        upstream = row.registration.id,
        upstreamStartedMillis = row.registration.startedMillis,
        digestInterval = digestInterval(tables, row.isInUse || requested.isNotEmpty()),
        loadRequests = requested.take(MAX_LOAD_REQUESTS).toPersistentList(),
        inUse = row.usedSinceDigest.addAll(row.inUse.keys),
        engine = engine.takeIf { requested.isNotEmpty() || !row.isInUse },
        isEvacuated = row.registration.domain in tables.evacuations,
    )

    private fun digestInterval(tables: GatewayTables, isActive: Boolean): Duration {
        val base = tables.settings.engineDigestInterval
        val upstreamCount = tables.upstreams.size
        return when {
            isActive -> DigestPacing.engineIntervalInUse(base, upstreamCount)
            else -> DigestPacing.idleEngineInterval(base, upstreamCount)
        }
    }

    private fun send(step: GatewayStep, row: UpstreamRow, digest: DemandDigest, now: Timestamp): GatewayStep {
        val id = row.registration.id
        val loadRequests = digest.loadRequests.map { it.adapter }.toPersistentSet()
        val sent = SentDemand(loadRequests, digest.isActive, now)
        return step
            .emit(GatewayEffect.SendDemandDigest(row.registration.endpoint.host, digest))
            .update { it.copy(demandDigestNumber = digest.number, sentDemand = it.sentDemand.put(id, sent)) }
            .update { tables -> tables.updateUpstream(id) { it.copy(usedSinceDigest = persistentSetOf()) } }
    }

    private companion object {
        /** Keeps a digest within one datagram. */
        const val MAX_LOAD_REQUESTS = 24
        val SWEEP_INTERVAL = 100.milliseconds
    }
}
