package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamEntry
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Takes over what the store tells: configuration, upstreams, versions of adapters, other entries. */
class StoreSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(step) { s, input ->
            when (input) {
                is GatewayInput.StoreRead -> confirm(readAll(s, input.all, tick.now), input.askedAt)
                is GatewayInput.StoreChanged -> confirm(applyAll(s, input.changes, tick.now), input.askedAt)
                else -> s
            }
        }

    private fun confirm(step: GatewayStep, askedAt: Timestamp): GatewayStep {
        val known = step.tables.confirmedAt
        return if (known != null && known >= askedAt) step else step.update { it.copy(confirmedAt = askedAt) }
    }

    private fun readAll(step: GatewayStep, all: PersistentList<StoreChange>, now: Timestamp): GatewayStep {
        val upstreams = all.mapNotNull { (it as? StoreChange.UpstreamSeen)?.entry?.id }.toSet()
        val peers = all.mapNotNull { (it as? StoreChange.PeerSeen)?.name }.toSet()
        val gone = step.tables.upstreams.keys.filter { it !in upstreams }.map { StoreChange.UpstreamGone(it) }
        val left = step.tables.peers.values.filter { it.listed && it.name !in peers }
        val known = applyAll(step, all + gone + left.map { StoreChange.PeerGone(it.name) }, now)
        return known.update { it.copy(versions = agedVersions(step.tables, it, now)) }
    }

    /** When a version was named can't be told from a whole read; it may have been long ago. */
    private fun agedVersions(
        before: GatewayTables,
        after: GatewayTables,
        now: Timestamp,
    ): PersistentMap<AdapterKey, NamedVersion> =
        after.versions.entries
            .filter { (adapter, named) -> before.versions[adapter] != named }
            .fold(after.versions) { all, (adapter, named) ->
                all.put(adapter, named.copy(heardAt = now - after.settings.staleVersion))
            }

    private fun applyAll(step: GatewayStep, changes: List<StoreChange>, now: Timestamp): GatewayStep =
        changes.fold(step) { s, change -> apply(s, change, now) }

    private fun apply(step: GatewayStep, change: StoreChange, now: Timestamp): GatewayStep =
        when (change) {
            is StoreChange.ConfigSet -> take(step, change.config, now)
            is StoreChange.UpstreamSeen -> step.update { it.see(change.entry) }.logSeen(step.tables, change.entry)
            is StoreChange.UpstreamGone -> remove(step, change.id)
            is StoreChange.VersionNamed -> step.update { it.name(change, now) }
            is StoreChange.PeerSeen -> step.update { it.see(change, now) }
            is StoreChange.PeerGone -> step.update { it.unlist(change.name) }
        }

    private fun take(step: GatewayStep, config: ServingConfig, now: Timestamp): GatewayStep {
        val known = step.tables.config
        if (known != null && known.version >= config.version) return step
        return step
            .log(LogPart.CONFIG, "configuration ${config.version} in force, ${known?.version ?: "none"} before, rates ${rates(config)}")
            .update { it.copy(config = config, buckets = bucketsFor(it, config, now)) }
    }

    private fun rates(config: ServingConfig): String =
        config.accounts.values.take(MAX_LOGGED).joinToString { "${it.id} ${it.rate}+${it.burst}" }

    /** A bucket that is new begins full only where nothing can have been used: at the first start of the system. */
    private fun bucketsFor(
        tables: GatewayTables,
        config: ServingConfig,
        now: Timestamp,
    ): PersistentMap<AccountId, FleetBucket> {
        val limited = config.accounts.values.filter { it.limited }
        val fresh = tables.identity.firstStart || tables.config != null
        return limited.associate { account ->
            val start = if (fresh) account.burst.toDouble() else account.burst * PART_AFTER_RESTART
            val known = tables.buckets[account.id]?.withLimits(account)
            account.id to (known ?: FleetBucket(account.rate, account.burst, start, now))
        }.toPersistentMap()
    }

    private fun remove(step: GatewayStep, id: UpstreamId): GatewayStep {
        val row = step.tables.upstreams[id] ?: return step
        return step
            .log(LogPart.MEMBERS, "upstream $id of ${row.entry.service} left the list")
            .update { tables ->
                val members = tables.members[row.entry.service].orEmptySet().remove(id)
                tables.copy(
                    upstreams = tables.upstreams.remove(id),
                    members = tables.members.put(row.entry.service, members),
                    demand = tables.demand.remove(id),
                )
            }
    }

    private fun GatewayStep.logSeen(before: GatewayTables, entry: UpstreamEntry): GatewayStep {
        val known = before.upstreams[entry.id]?.entry
        val news = when {
            known == null -> "joined the list at ${entry.endpoint}"
            known.bornMillis != entry.bornMillis -> "started again at ${entry.endpoint}"
            known.accepting && !entry.accepting -> "is leaving"
            else -> return this
        }
        return log(LogPart.MEMBERS, "upstream ${entry.id} of ${entry.service} $news")
    }

    private fun GatewayTables.see(entry: UpstreamEntry): GatewayTables {
        val known = upstreams[entry.id]
        val same = known != null && known.entry.bornMillis == entry.bornMillis && known.entry.service == entry.service
        val row = if (same) known.copy(entry = entry) else UpstreamRow(entry, inFlight = known?.inFlight ?: 0)
        val old = known?.entry?.service
        val left = if (old == null || old == entry.service) members else members.put(old, members[old].orEmptySet().remove(entry.id))
        return copy(
            upstreams = upstreams.put(entry.id, row),
            members = left.put(entry.service, left[entry.service].orEmptySet().add(entry.id)),
        )
    }

    private fun GatewayTables.name(change: StoreChange.VersionNamed, now: Timestamp): GatewayTables {
        val known = versions[change.adapter]
        if (known != null && known.version >= change.version) return this
        return copy(versions = versions.put(change.adapter, NamedVersion(change.version, now)))
    }

    private fun GatewayTables.see(change: StoreChange.PeerSeen, now: Timestamp): GatewayTables {
        if (change.name == identity.name) return this
        val known = peers[change.name]
        val row = known?.copy(endpoint = change.endpoint, listed = true)
            ?: PeerRow(change.name, change.endpoint, seenAt = now)
        return copy(peers = peers.put(change.name, row))
    }

    private fun GatewayTables.unlist(name: String): GatewayTables {
        if (name !in peers) return this
        val kept = buckets.mapValues { it.value.forget(name) }.toPersistentMap()
        return copy(peers = peers.remove(name), buckets = kept)
    }

    private fun PersistentSet<UpstreamId>?.orEmptySet() = this ?: persistentSetOf()

    private companion object {
        const val MAX_LOGGED = 24

        /** What was used before a restart isn't known; all entries may have restarted, each with this part. */
        const val PART_AFTER_RESTART = 0.25
    }
}
