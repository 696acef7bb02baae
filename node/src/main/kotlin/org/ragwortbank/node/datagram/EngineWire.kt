package org.ragwortbank.node.datagram

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.UpstreamId

internal fun Collection<AdapterKey>.namesByModel(): Map<String, List<String>> = groupBy({ it.model }, { it.adapter })

private fun Map<AdapterKey, Long>.versionsByModel(): Map<String, Map<String, Long>> =
    entries.groupBy { it.key.model }.mapValues { (_, entries) -> entries.associate { it.key.adapter to it.value } }

internal fun Map<String, List<String>>.toKeys() =
    flatMap { (model, names) -> names.map { AdapterKey(model, it) } }.toPersistentSet()

private fun Map<String, Map<String, Long>>.toVersions() =
    flatMap { (model, versions) -> versions.map { (name, version) -> AdapterKey(model, name) to version } }
        .toMap()
        .toPersistentMap()

internal fun EngineDigest.toWire() = WireEngine(
    upstream = upstream.value,
    stamp = WireStamp(incarnation, number),
    resident = resident.versionsByModel(),
    loading = loading.versionsByModel(),
    inUse = inUse.namesByModel(),
    residentModels = residentModels.toList(),
    runningRequests = runningRequests,
    queuedRequests = queuedRequests,
    freeSlots = freeSlots,
    requestedLoads = requestedLoads,
    millisPerToken = millisPerToken.toFloat(),
    usedTokens = usedTokens,
)

internal fun WireEngine.toDigest() = EngineDigest(
    upstream = UpstreamId(upstream),
    incarnation = stamp.incarnation,
    number = stamp.number,
    resident = resident.toVersions(),
    loading = loading.toVersions(),
    inUse = inUse.toKeys(),
    residentModels = residentModels.toPersistentSet(),
    runningRequests = runningRequests,
    queuedRequests = queuedRequests,
    freeSlots = freeSlots,
    requestedLoads = requestedLoads,
    millisPerToken = millisPerToken.toDouble(),
    usedTokens = usedTokens,
)
