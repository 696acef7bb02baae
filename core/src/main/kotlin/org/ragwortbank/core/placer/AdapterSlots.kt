package org.ragwortbank.core.placer

import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.LoadRequest
import org.ragwortbank.core.tick.Timestamp

/** Adapters that entries wait for. */
internal fun PlacerTables.wishes(): List<LoadRequest> = entries.values.flatMap { it.demand.loadRequests }

/** Whether the engine neither holds what is wished for nor is loading it. */
internal fun LoadRequest.isOpen(report: EngineReport): Boolean {
    val held = report.holds[adapter]
    val satisfied = held != null && (version == null || held >= version)
    return !satisfied && adapter !in report.coming && adapter.model in report.models
}

/** Places for further adapters, with those counted that are under way. */
internal fun EngineReport.placesLeft(engine: EngineSpec): Int {
    val loaded = models.mapNotNull { engine.models[it] }
    val free = engine.memoryMegabytes - loaded.sumOf { it.weightsMegabytes }
    val each = loaded.maxOfOrNull { it.adapterMegabytes }?.takeIf { it > 0 }
    val byMemory = each?.let { (free / it).toInt() } ?: engine.adapterSlots
    return minOf(engine.adapterSlots, byMemory) - (holds.keys + coming.keys).size
}

/** The adapter that was unused longest; null when all are in use, wished for or lately used. */
internal fun PlacerTables.leastUsed(report: EngineReport, now: Timestamp): AdapterKey? =
    unused(report, now).minByOrNull { lastUsed[it]?.nanos ?: Long.MIN_VALUE }

/** Places that can take another adapter now. */
internal fun PlacerTables.freePlaces(report: EngineReport, now: Timestamp): Int =
    (engineSpec()?.let { report.placesLeft(it) } ?: 0) + unused(report, now).size

/** What the engine can hold, by the newest word of an entry. */
internal fun PlacerTables.engineSpec(): EngineSpec? = entries.values.maxByOrNull { it.heardAt }?.demand?.engine

private fun PlacerTables.unused(report: EngineReport, now: Timestamp): List<AdapterKey> {
    val wished = wishes().map { it.adapter }.toSet()
    return report.holds.keys
        .filter { it !in wished && it !in used && it !in report.coming }
        .filter { key -> lastUsed[key]?.let { now - it >= settings.idleFor } ?: true }
}
