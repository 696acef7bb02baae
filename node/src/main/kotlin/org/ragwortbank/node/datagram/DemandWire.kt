package org.ragwortbank.node.datagram

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.LoadRequest
import org.ragwortbank.core.serving.ModelSpec
import org.ragwortbank.core.serving.UpstreamId
import kotlin.time.Duration.Companion.milliseconds

private fun LoadRequest.toWire() =
    WireAdapter(adapter.model, adapter.adapter, version, requestCount, waitingTime.inWholeMilliseconds, rank)

private fun WireAdapter.toRequest() =
    LoadRequest(AdapterKey(model, adapter), version, requestCount, waitingMillis.milliseconds, rank)

internal fun DemandDigest.toWire() = WireDemand(
    sender = sender,
    stamp = WireStamp(incarnation, number),
    upstream = upstream.value,
    upstreamStartedMillis = upstreamStartedMillis,
    digestIntervalMillis = digestInterval.inWholeMilliseconds,
    loadRequests = loadRequests.map { it.toWire() },
    inUse = inUse.namesByModel(),
    engine = engine?.toWire(),
    isEvacuated = isEvacuated,
)

private fun EngineSpec.toWire() = WireEngineSpec(
    models = models.values.map { WireModel(it.name, it.weightsMegabytes, it.adapterMegabytes) },
    memoryMegabytes = memoryMegabytes,
    adapterSlots = adapterSlots,
)

/** The capacity of an engine; null if a size is below zero or isn't finite. */
private fun WireEngineSpec.toSpec(): EngineSpec? {
    val sizes = models.flatMap { listOf(it.weightsMegabytes, it.adapterMegabytes) } + memoryMegabytes
    if (adapterSlots < 0 || sizes.any { !it.isFinite() || it < 0 }) return null
    return EngineSpec(
        models = models
            .associate { it.name to ModelSpec(it.name, it.weightsMegabytes, it.adapterMegabytes) }
            .toPersistentMap(),
        memoryMegabytes = memoryMegabytes,
        adapterSlots = adapterSlots,
    )
}

internal fun WireDemand.toDigest() = DemandDigest(
    sender = sender,
    incarnation = stamp.incarnation,
    number = stamp.number,
    upstream = UpstreamId(upstream),
    upstreamStartedMillis = upstreamStartedMillis,
    digestInterval = digestIntervalMillis.takeIf { it > 0 }?.milliseconds ?: DemandDigest.DEFAULT_DIGEST_INTERVAL,
    loadRequests = loadRequests.map { it.toRequest() }.toPersistentList(),
    inUse = inUse.toKeys(),
    engine = engine?.toSpec(),
    isEvacuated = isEvacuated,
)
