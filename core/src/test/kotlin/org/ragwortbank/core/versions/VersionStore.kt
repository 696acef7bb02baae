package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.serving.UpstreamId

/** A linearizable store with the history of its changes. */
internal data class VersionStore(
    val era: Long = 1,
    val revision: Long = 1,
    val history: List<Pair<Long, StoreChange>> = emptyList(),
    val versions: Map<ServiceName, StoreChange.VersionsSet> = emptyMap(),
    val records: Map<StreamRecordKey, StreamRecord> = emptyMap(),
    val upstreams: Map<UpstreamId, StoreChange.UpstreamRegistered> = emptyMap(),
) {
    /** All that it has. */
    val contents: List<StoreChange>
        get() = records.values.map { StoreChange.StreamsRecorded(it) } + versions.values + upstreams.values

    /** How far a read of it goes. */
    val position: StorePosition get() = StorePosition(era, revision)

    /** What it comes back with in its next era from [copy], which it was earlier. */
    fun backFrom(copy: VersionStore): VersionStore = copy.copy(era = era + 1)

    /** Changes after [revision]. */
    fun changesAfter(revision: Long): List<StoreChange> = history.filter { it.first > revision }.map { it.second }

    /** After the write that [effect] asks for; unchanged where its condition doesn't hold. */
    fun after(effect: GatewayEffect): VersionStore =
        when (effect) {
            is GatewayEffect.SaveStreamRecord ->
                (listOf(effect.record) + effect.beside).fold(this) { store, record -> store.withRecord(record) }
            is GatewayEffect.SaveVersions -> afterVersions(effect)
            else -> this
        }

    /** After the upstream of [change] was registered. */
    fun registered(change: StoreChange.UpstreamRegistered): VersionStore =
        copy(upstreams = upstreams + (change.registration.id to change)).changed(change)

    /** After the upstream [id] left the list. */
    fun removed(id: UpstreamId): VersionStore =
        if (id !in upstreams) this else copy(upstreams = upstreams - id).changed(StoreChange.UpstreamRemoved(id))

    private fun withRecord(record: StreamRecord): VersionStore =
        copy(records = records + (record.key to record)).changed(StoreChange.StreamsRecorded(record))

    private fun afterVersions(effect: GatewayEffect.SaveVersions): VersionStore {
        val present = versions[effect.service]?.revision ?: 0
        if (present != effect.expectedRevision) return this
        val change = StoreChange.VersionsSet(effect.service, effect.versions, revision + 1)
        return copy(versions = versions + (effect.service to change)).changed(change)
    }

    private fun changed(change: StoreChange): VersionStore {
        val next = revision + 1
        return copy(revision = next, history = history + (next to change))
    }
}
