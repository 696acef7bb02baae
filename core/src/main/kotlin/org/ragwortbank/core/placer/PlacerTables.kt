package org.ragwortbank.core.placer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Step
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A placer's step of a tick. */
typealias PlacerStep = Step<PlacerTables, PlacerEffect>

/**
 * Bounds and intervals of a placer's decisions.
 *
 * @property reportInterval time between reports while nothing is loading, and [busyReportInterval] while something is
 * @property silentReportInterval time between questions to an engine that doesn't answer
 * @property digestInterval time between digests to the entries while nothing changes
 * @property demandLifetime how long an entry's demand counts after its last digest
 * @property idleFor how long an adapter must have been unused before it makes way
 * @property orderTimeout how long an order may go without an answer
 * @property maxComing most loads of adapters at once
 */
data class PlacerSettings(
    val reportInterval: Duration = 500.milliseconds,
    val busyReportInterval: Duration = 30.milliseconds,
    val silentReportInterval: Duration = 100.milliseconds,
    val digestInterval: Duration = 400.milliseconds,
    val demandLifetime: Duration = 2.seconds,
    val idleFor: Duration = 1.seconds,
    val orderTimeout: Duration = 500.milliseconds,
    val maxComing: Int = 4,
)

/**
 * The engine's state as it reports it.
 *
 * @property sequence number of orders that it has accepted since its start
 * @property busy whether it carries out an order for a base model
 */
data class EngineReport(
    val models: PersistentSet<String>,
    val holds: PersistentMap<AdapterKey, Long>,
    val coming: PersistentMap<AdapterKey, Long>,
    val sequence: Long,
    val busy: Boolean,
    val running: Int,
    val queued: Int,
)

/** What an order asks of an engine. */
sealed interface EngineCommand {
    /** Load [adapter] in [version], or in the newest one. */
    data class LoadAdapter(val adapter: AdapterKey, val version: Long?) : EngineCommand

    /** Drop [adapter]. */
    data class DropAdapter(val adapter: AdapterKey) : EngineCommand

    /** Load the base model [model]. */
    data class LoadModel(val model: String) : EngineCommand
}

/**
 * The order whose answer is awaited.
 *
 * @property number distinguishes the orders of this process
 */
data class PendingCommand(
    val order: EngineCommand,
    val number: Long,
    val sentAt: Timestamp,
)

/** An entry, and what it wants. */
data class GatewayRow(
    val name: String,
    val endpoint: Endpoint,
    val demand: DemandDigest,
    val heardAt: Timestamp,
)

/**
 * All that a placer knows, as one immutable value.
 *
 * A placer runs beside one engine and is the only one that gives it orders.
 *
 * @property upstream the engine's present identity, as the engine or the entries tell it
 * @property report newest report; null before the first, while the engine doesn't answer and after an unclear order
 * @property answers whether the engine answered when it was asked last
 * @property askedAt when a report was last asked for
 * @property awaitingReport whether the answer to that is still to come
 * @property pending order whose answer is awaited; there is at most one at a time
 * @property settledAt when the last order was answered; reports that were asked for earlier may lack it
 * @property lastUsed when each adapter was last in use or loaded
 * @property told what the entries were told last, and [toldAt] when
 */
data class PlacerTables(
    val name: String,
    val incarnation: Long,
    val settings: PlacerSettings = PlacerSettings(),
    val upstream: UpstreamId? = null,
    val report: EngineReport? = null,
    val answers: Boolean = false,
    val askedAt: Timestamp? = null,
    val awaitingReport: Boolean = false,
    val entries: PersistentMap<String, GatewayRow> = persistentMapOf(),
    val pending: PendingCommand? = null,
    val orderNumber: Long = 0,
    val settledAt: Timestamp? = null,
    val lastUsed: PersistentMap<AdapterKey, Timestamp> = persistentMapOf(),
    val told: EngineReport? = null,
    val toldAt: Timestamp? = null,
    val digestNumber: Long = 0,
    val used: PersistentSet<AdapterKey> = persistentSetOf(),
    val stopping: Boolean = false,
) {
    /** Whether the engine is bringing a model or an adapter. */
    val loading: Boolean get() = report != null && (report.busy || report.coming.isNotEmpty())
}

internal fun PlacerStep.log(part: LogPart, message: String): PlacerStep =
    emit(PlacerEffect.Log(LogLine(part, message)))
