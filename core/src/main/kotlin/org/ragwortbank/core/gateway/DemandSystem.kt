package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.LoadRequest
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Sends each placer its load requests and the adapters in use: at once for a new load request, else at intervals. */
class DemandSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val loadRequests = loadRequestsByUpstream(step.tables)
        return step.tables.upstreams.values.fold(step) { current, row ->
            val engine = current.tables.config?.services?.get(row.registration.service)?.engine
            val adapters = loadRequests[row.registration.id].orEmpty()
            if (engine == null) current else sendIfDue(current, row, engine, adapters, tick.now)
        }
    }

    private fun loadRequestsByUpstream(tables: GatewayTables): Map<UpstreamId, List<AdapterKey>> =
        tables.waiting
            .mapNotNull { tables.requests[it] }
            .mapNotNull { row ->
                val loadingUpstream = (row.stage as? RequestStage.Waiting)?.loadingUpstream
                val adapter = row.call.adapterKey
                if (loadingUpstream == null || adapter == null) null else loadingUpstream to adapter
            }
            .groupBy({ it.first }, { it.second })

    private fun sendIfDue(
        step: GatewayStep,
        row: UpstreamRow,
        engine: EngineSpec,
        loadRequests: List<AdapterKey>,
        now: Timestamp,
    ): GatewayStep {
        val id = row.registration.id
        val lastSent = step.tables.sentDemand[id]
        val requested = loadRequests.toPersistentSet()
        val hasNew = requested.any { it !in lastSent?.loadRequests.orEmpty() }
        val isDue = lastSent == null || now - lastSent.sentAt >= step.tables.settings.demandDigestInterval
        return if (hasNew || isDue) send(step, row, digest(step.tables, row, engine, requested), now) else step
    }

    private fun digest(
        tables: GatewayTables,
        row: UpstreamRow,
        engine: EngineSpec,
        requested: PersistentSet<AdapterKey>,
    ) = DemandDigest(
        sender = tables.identity.name,
        incarnation = tables.identity.incarnation,
        number = tables.demandDigestNumber + 1,
        upstream = row.registration.id,
        loadRequests = requested
            .take(MAX_LOAD_REQUESTS)
            .map { LoadRequest(it, tables.versions[it]?.version) }
            .toPersistentList(),
        inUse = row.inUse.keys.toPersistentSet(),
        engine = engine,
    )

    private fun send(step: GatewayStep, row: UpstreamRow, digest: DemandDigest, now: Timestamp): GatewayStep {
        val loadRequests = digest.loadRequests.map { it.adapter }.toPersistentSet()
        return step
            .emit(GatewayEffect.SendDemandDigest(row.registration.endpoint.host, digest))
            .update { it.copy(demandDigestNumber = digest.number) }
            .update { it.copy(sentDemand = it.sentDemand.put(row.registration.id, SentDemand(loadRequests, now))) }
    }

    private companion object {
        /** Keeps a digest within one datagram. */
        const val MAX_LOAD_REQUESTS = 24
    }
}
