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
 * @property reportInterval time between reports while nothing is loading
 * @property loadingReportInterval time between reports while a base model or an adapter is loading
 * @property unresponsiveReportInterval time between questions to an engine that doesn't answer
 * @property digestInterval time between digests to the entries while nothing changes
 * @property demandLifetime how long an entry's demand counts after its last digest
 * @property minIdleTime how long an adapter must have been unused before it makes way
 * @property commandTimeout how long an order may go without an answer
 * @property maxLoadingAdapters most loads of adapters at once
 */
data class PlacerSettings(
    val reportInterval: Duration = 500.milliseconds,
    val loadingReportInterval: Duration = 30.milliseconds,
    val unresponsiveReportInterval: Duration = 100.milliseconds,
    val digestInterval: Duration = 400.milliseconds,
    val demandLifetime: Duration = 2.seconds,
    val minIdleTime: Duration = 1.seconds,
    val commandTimeout: Duration = 500.milliseconds,
    val maxLoadingAdapters: Int = 4,
)

/**
 * The engine's state as it reports it.
 *
 * @property commandSequence number of orders that it has accepted since its start
 * @property isLoadingModel whether it carries out an order for a base model
 */
data class EngineReport(
    val residentModels: PersistentSet<String>,
    val resident: PersistentMap<AdapterKey, Long>,
    val loading: PersistentMap<AdapterKey, Long>,
    val commandSequence: Long,
    val isLoadingModel: Boolean,
    val runningRequests: Int,
    val queuedRequests: Int,
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
    val command: EngineCommand,
    val number: Long,
    val sentAt: Timestamp,
)

/** An entry, and what it wants. */
data class GatewayRow(
    val name: String,
    val endpoint: Endpoint,
    val demand: DemandDigest,
    val receivedAt: Timestamp,
)

/**
 * All that a placer knows, as one immutable value.
 *
 * A placer runs beside one engine and is the only one that gives it orders.
 *
 * @property upstream the engine's present identity, as the engine or the entries tell it
 * @property report newest report; null before the first, while the engine doesn't answer and after an unclear order
 * @property isEngineReachable whether the engine answered when it was asked last
 * @property reportRequestedAt when a report was last asked for
 * @property isAwaitingReport whether the answer to that is still to come
 * @property pendingCommand order whose answer is awaited; there is at most one at a time
 * @property lastCommandCompletedAt when the last order was answered; reports that were asked for earlier may lack it
 * @property lastUsedAt when each adapter was last in use or loaded
 * @property lastSentReport what the entries were told last, and [lastSentAt] when
 */
data class PlacerTables(
    val name: String,
    val incarnation: Long,
    val settings: PlacerSettings = PlacerSettings(),
    val upstream: UpstreamId? = null,
    val report: EngineReport? = null,
    val isEngineReachable: Boolean = false,
    val reportRequestedAt: Timestamp? = null,
    val isAwaitingReport: Boolean = false,
    val gateways: PersistentMap<String, GatewayRow> = persistentMapOf(),
    val pendingCommand: PendingCommand? = null,
    val lastCommandNumber: Long = 0,
    val lastCommandCompletedAt: Timestamp? = null,
    val lastUsedAt: PersistentMap<AdapterKey, Timestamp> = persistentMapOf(),
    val lastSentReport: EngineReport? = null,
    val lastSentAt: Timestamp? = null,
    val lastDigestNumber: Long = 0,
    val inUse: PersistentSet<AdapterKey> = persistentSetOf(),
    val isStopping: Boolean = false,
) {
    /** Whether the engine is bringing a model or an adapter. */
    val isLoading: Boolean get() = report != null && (report.isLoadingModel || report.loading.isNotEmpty())
}

internal fun PlacerStep.log(part: LogPart, message: String): PlacerStep =
    emit(PlacerEffect.Log(LogLine(part, message)))
