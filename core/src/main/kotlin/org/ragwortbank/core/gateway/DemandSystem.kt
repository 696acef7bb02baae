package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.AdapterWish
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Tells each placer which adapters are wished for and in use: at once when a wish is new, else at intervals. */
class DemandSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val wishes = wishesByUpstream(step.tables)
        return step.tables.upstreams.values.fold(step) { current, row ->
            val engine = current.tables.config?.services?.get(row.registration.service)?.engine
            if (engine == null) current else tell(current, row, engine, wishes[row.registration.id].orEmpty(), tick.now)
        }
    }

    private fun wishesByUpstream(tables: GatewayTables): Map<UpstreamId, List<AdapterKey>> =
        tables.waiting
            .mapNotNull { tables.requests[it] }
            .mapNotNull { row ->
                val wish = (row.stage as? RequestStage.Waiting)?.loadingUpstream
                val adapter = row.call.adapterKey
                if (wish == null || adapter == null) null else wish to adapter
            }
            .groupBy({ it.first }, { it.second })

    private fun tell(
        step: GatewayStep,
        row: UpstreamRow,
        engine: EngineSpec,
        wishes: List<AdapterKey>,
        now: Timestamp,
    ): GatewayStep {
        val id = row.registration.id
        val known = step.tables.demand[id]
        val wished = wishes.toPersistentSet()
        val news = wished.any { it !in known?.wishes.orEmpty() }
        val due = known == null || now - known.at >= step.tables.settings.demandDigestInterval
        return if (news || due) send(step, row, digest(step.tables, row, engine, wished), now) else step
    }

    private fun digest(
        tables: GatewayTables,
        row: UpstreamRow,
        engine: EngineSpec,
        wished: PersistentSet<AdapterKey>,
    ) = DemandDigest(
        sender = tables.identity.name,
        incarnation = tables.identity.incarnation,
        number = tables.digestNumber + 1,
        upstream = row.registration.id,
        wishes = wished.take(MAX_WISHES).map { AdapterWish(it, tables.versions[it]?.version) }.toPersistentList(),
        used = row.inUse.keys.toPersistentSet(),
        engine = engine,
    )

    private fun send(step: GatewayStep, row: UpstreamRow, digest: DemandDigest, now: Timestamp): GatewayStep {
        val wishes = digest.wishes.map { it.adapter }.toPersistentSet()
        return step
            .emit(GatewayEffect.SendDemandDigest(row.registration.endpoint.host, digest))
            .update { it.copy(digestNumber = digest.number) }
            .update { it.copy(demand = it.demand.put(row.registration.id, DemandRow(wishes, now))) }
    }

    private companion object {
        /** Keeps a digest within one datagram. */
        const val MAX_WISHES = 24
    }
}
