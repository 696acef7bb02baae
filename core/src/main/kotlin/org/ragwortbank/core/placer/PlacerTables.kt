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
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.speed.GenerationSpeed
import org.ragwortbank.core.tick.Step
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The tables and effects that a placer's systems pass on during a tick. */
typealias PlacerStep = Step<PlacerTables, PlacerEffect>

/**
 * Intervals and limits of a placer.
 *
 * @property reportInterval time between reports while nothing is loading
 * @property loadingReportInterval time between reports while a base model or an adapter is loading
 * @property unresponsiveReportInterval time between report requests while there is no valid report
 * @property demandLifetime how long a gateway's load requests and adapters in use stay valid after its last digest
 * @property evacuationLifetime how long an engine counts as emptied after a gateway has last said so
 * @property gatewayLifetime how long a gateway gets digests after its own last one
 * @property minIdleTime how long an adapter must have been unused before it may be evicted
 * @property maxLoadingAdapters largest number of adapters loading at the same time
 */
data class PlacerSettings(
    val reportInterval: Duration = 500.milliseconds,
    val loadingReportInterval: Duration = 30.milliseconds,
    val unresponsiveReportInterval: Duration = 100.milliseconds,
    val demandLifetime: Duration = 2.seconds,
    val evacuationLifetime: Duration = 5.seconds,
    val gatewayLifetime: Duration = 15.seconds,
    val minIdleTime: Duration = 250.milliseconds,
    val maxLoadingAdapters: Int = 4,
)

/**
 * The engine's state as it reports it, updated with the commands that it has accepted since.
 *
 * @property resident versions of the adapters that can be used
 * @property loading versions of the adapters being loaded; 0 where the version isn't known
 * @property startedMillis start of this incarnation of the engine in Unix milliseconds; 0 when it doesn't say
 * @property commandSequence number of commands that the engine has accepted since its start
 * @property isLoadingModel whether the engine is executing a command for a base model
 * @property runningRequests requests that the engine is serving, of all gateways
 * @property queuedRequests requests waiting at the engine
 * @property generating tokens in memory of each run that has begun to generate, by its ID
 * @property usedTokens memory of running requests of all gateways, in tokens; null when it doesn't say
 */
data class EngineReport(
    val residentModels: PersistentSet<String>,
    val resident: PersistentMap<AdapterKey, Long>,
    val loading: PersistentMap<AdapterKey, Long>,
    val startedMillis: Long,
    val commandSequence: Long,
    val isLoadingModel: Boolean,
    val runningRequests: Int,
    val queuedRequests: Int,
    val generating: PersistentMap<String, Long> = persistentMapOf(),
    val usedTokens: Long? = null,
)

/** A change of the loaded adapters and base models that an engine is asked to make. */
sealed interface EngineCommand {
    /** Load [version] of [adapter]; null for the newest. */
    data class LoadAdapter(val adapter: AdapterKey, val version: Long?) : EngineCommand

    /** Unload [adapter]. */
    data class DropAdapter(val adapter: AdapterKey) : EngineCommand

    /** Load a base model. */
    data class LoadModel(val model: String) : EngineCommand
}

/**
 * The command whose answer is awaited.
 *
 * @property number identifies the command among those of this process
 */
data class PendingCommand(
    val command: EngineCommand,
    val number: Long,
)

/**
 * A gateway that sends requests to the engine.
 *
 * @property endpoint where it receives digests
 * @property demand its newest digest, which came at [receivedAt]
 * @property sentReport report behind the last digest sent to it, at [sentAt]
 */
data class GatewayRow(
    val name: String,
    val endpoint: Endpoint,
    val demand: DemandDigest,
    val receivedAt: Timestamp,
    val sentReport: EngineReport? = null,
    val sentAt: Timestamp? = null,
)

/**
 * The whole state of a placer, as one immutable value.
 *
 * A placer runs beside one engine and is the only process that sends it commands.
 *
 * @property upstream the engine's current ID, as the gateways' digests name it
 * @property engine capacity of the engine, from the newest digest that says it
 * @property fence fencing token of the commands to the engine; null before its first report
 * @property report newest report; null before the first, while the engine doesn't answer, and after a command that was
 *   not accepted
 * @property isEngineReachable whether the last report request was answered
 * @property reportRequestedAt when a report was last requested
 * @property isAwaitingReport whether that request is still unanswered
 * @property gateways gateways that get digests, by name
 * @property pendingCommand command whose answer is awaited; at most one at a time
 * @property lastCommandCompletedAt when the last command was answered or timed out; reports requested earlier may not
 *   reflect it
 * @property lastUsedAt when each adapter was last in use or loaded
 * @property inUse adapters that gateways have requests under way for
 * @property speed how fast the engine generates, as learned from its reports
 */
data class PlacerTables(
    val name: String,
    val incarnation: Long,
    val settings: PlacerSettings = PlacerSettings(),
    val upstream: UpstreamId? = null,
    val engine: EngineSpec? = null,
    val fence: CommandFence? = null,
    val report: EngineReport? = null,
    val isEngineReachable: Boolean = false,
    val reportRequestedAt: Timestamp? = null,
    val isAwaitingReport: Boolean = false,
    val gateways: PersistentMap<String, GatewayRow> = persistentMapOf(),
    val pendingCommand: PendingCommand? = null,
    val lastCommandNumber: Long = 0,
    val lastCommandCompletedAt: Timestamp? = null,
    val lastUsedAt: PersistentMap<AdapterKey, Timestamp> = persistentMapOf(),
    val lastDigestNumber: Long = 0,
    val inUse: PersistentSet<AdapterKey> = persistentSetOf(),
    val speed: GenerationSpeed = GenerationSpeed(),
    val isStopping: Boolean = false,
) {
    /** Whether the engine is loading a base model or an adapter. */
    val isLoading: Boolean get() = report != null && (report.isLoadingModel || report.loading.isNotEmpty())

    /** The gateways' newest digests that are recent enough for their load requests and adapters in use to hold. */
    fun currentDemand(now: Timestamp): List<DemandDigest> =
        gateways.values.filter { now - it.receivedAt <= settings.demandLifetime }.map { it.demand }

    /** The gateways that say that the engine's failure domain is emptied. */
    fun evacuationSenders(now: Timestamp): List<String> =
        gateways.values
            .filter { it.demand.isEvacuated && now - it.receivedAt <= settings.evacuationLifetime }
            .map { it.name }
}

internal fun PlacerStep.log(part: LogPart, message: String): PlacerStep =
    emit(PlacerEffect.Log(LogLine(part, message)))
