package org.ragwortbank.core.placer

import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.LoadRequest
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Load requests of all gateways. */
internal fun PlacerTables.loadRequests(now: Timestamp): List<LoadRequest> =
    currentDemand(now).flatMap { it.loadRequests }

/**
 * The adapters that requests wait for and whose load has not begun, the one to load next first: those of the most
 * urgent requests where the gateways say it, those that have waited for long, then those that most requests wait for.
 */
internal fun PlacerTables.unmetLoads(report: EngineReport, now: Timestamp): List<LoadRequest> =
    loadRequests(now)
        .filter { it.isUnmet(report) }
        .groupBy { it.adapter }
        .map { (adapter, requests) -> joined(adapter, requests) }
        .sortedWith(
            compareBy<LoadRequest> { it.promotedRank }
                .thenByDescending { it.waitingTime >= LONG_WAIT }
                .thenByDescending { if (it.waitingTime >= LONG_WAIT) 0 else it.requestCount }
                .thenByDescending { it.waitingTime },
        )

/** The [requests] of several gateways for one adapter as one, for the newest version that any of them names. */
private fun joined(adapter: AdapterKey, requests: List<LoadRequest>) = LoadRequest(
    adapter = adapter,
    version = requests.mapNotNull { it.version }.maxOrNull(),
    requestCount = requests.sumOf { it.requestCount },
    waitingTime = requests.maxOf { it.waitingTime },
    rank = requests.mapNotNull { it.rank }.minOrNull(),
)

/** The rank, one better for each [LONG_WAIT] of waiting; 0 when no gateway says it. */
private val LoadRequest.promotedRank: Int
    get() = ((rank ?: 0) - (waitingTime / LONG_WAIT).toInt()).coerceAtLeast(0)

/** Requests that have waited this long go before others, so that an adapter with few requests is not starved. */
private val LONG_WAIT = 800.milliseconds

/** Whether the requested version is neither resident nor loading, while the base model is loaded. */
internal fun LoadRequest.isUnmet(report: EngineReport): Boolean {
    val residentVersion = report.resident[adapter]
    val isSatisfied = residentVersion != null && (version == null || residentVersion >= version)
    return !isSatisfied && adapter !in report.loading && adapter.model in report.residentModels
}

/**
 * Slots that neither a resident nor a loading adapter takes.
 *
 * Limited by the configured number of slots and by the memory that the base models leave for adapters. There are none
 * beside a base model whose size isn't known.
 */
internal fun EngineReport.emptySlots(engine: EngineSpec): Int {
    val loadedModels = residentModels.mapNotNull { engine.models[it] }
    if (loadedModels.size < residentModels.size) return 0
    val adapterMegabytes = engine.memoryMegabytes - loadedModels.sumOf { it.weightsMegabytes }
    val largestAdapterMegabytes = loadedModels.maxOfOrNull { it.adapterMegabytes }?.takeIf { it > 0 }
    val slotsByMemory = largestAdapterMegabytes?.let { (adapterMegabytes / it).toInt() } ?: engine.adapterSlots
    return minOf(engine.adapterSlots, slotsByMemory) - (resident.keys + loading.keys).size
}

/** The adapter that has been unused the longest; null when all are in use, requested or recently used. */
internal fun PlacerTables.leastRecentlyUsed(report: EngineReport, now: Timestamp): AdapterKey? =
    evictableAdapters(report, now).minByOrNull { lastUsedAt[it]?.nanos ?: Long.MIN_VALUE }

/** Slots that can take another adapter now: empty ones and those of evictable adapters. */
internal fun PlacerTables.freeSlots(report: EngineReport, now: Timestamp): Int =
    (engine?.let { report.emptySlots(it) } ?: 0) + evictableAdapters(report, now).size

private fun PlacerTables.evictableAdapters(report: EngineReport, now: Timestamp): List<AdapterKey> {
    val requested = loadRequests(now).map { it.adapter }.toSet()
    return report.resident.keys
        .filter { it !in requested && it !in inUse && it !in report.loading }
        .filter { adapter -> lastUsedAt[adapter]?.let { now - it >= settings.minIdleTime } ?: true }
}
