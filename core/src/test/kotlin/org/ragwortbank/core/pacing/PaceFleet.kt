package org.ragwortbank.core.pacing

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.PeerRow
import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.selection.defaultUpstreamPolicy
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How the upstream of a [PaceFleet] is at a moment.
 *
 * @property bears requests that it runs at the same time
 * @property slowness factor on the time that a request takes
 * @property isUp whether it answers; one that isn't loses what it has
 * @property losesEach it loses the connection of one in so many requests; 0 if it loses none
 * @property promptTokens tokens of the prompts that arrive; reading them takes time
 */
internal data class ModelUpstream(
    val bears: Int = PaceFleet.SLOTS,
    val slowness: Double = 1.0,
    val isUp: Boolean = true,
    val losesEach: Int = 0,
    val promptTokens: Long = 0,
)

/**
 * The load on the upstream of a [PaceFleet].
 *
 * @property gateways number of gateways
 * @property waiting gateways that have requests waiting at a moment
 * @property perSecond requests that arrive at each of them; null if there are always some
 * @property hasReports whether answers and digests tell the upstream's load
 */
internal data class PaceLoad(
    val gateways: Int,
    val waiting: (Duration) -> IntRange = { 0 until gateways },
    val perSecond: Double? = null,
    val hasReports: Boolean = true,
)

/** Gateways that share one upstream, a model that runs some requests at a time, queues a few and rejects the others. */
internal class PaceFleet(
    private val load: PaceLoad,
    private val rule: PaceRule = LoadFollowingPace(),
    private val upstreamAt: (Duration) -> ModelUpstream = { ModelUpstream() },
) {
    private class Sent(val gateway: Int, val row: RequestRow, val startedAt: Duration?, val hasBegun: Boolean)

    private val policy = defaultUpstreamPolicy()
    private val systems = Schedule(persistentListOf(PaceSystem(rule)))
    private var elapsed = Duration.ZERO
    private var lastNumber = 0L
    private var tables = (0 until load.gateways).map(::startedTables)
    private var credits = (0 until load.gateways).map { it.toDouble() / load.gateways }
    private var underWay = emptyList<Sent>()

    /** Requests that the upstream ran and those that it held, at each step. */
    var running = emptyList<Int>()
        private set
    var held = emptyList<Int>()
        private set

    /** When requests were rejected, or lost. */
    var failures = emptyList<Duration>()
        private set

    fun run(time: Duration): PaceFleet {
        while (elapsed < time) {
            val now = upstreamAt(elapsed)
            advanceUpstream(now)
            tables = tables.map { systems.run(Tick(at(elapsed), persistentListOf()), it).tables }
            tables.indices.forEach { if (it in load.waiting(elapsed)) sendAll(it, now) }
            running = running + underWay.count { it.startedAt != null }
            held = held + underWay.size
            elapsed += STEP
        }
        return this
    }

    /** When the upstream first ran nine tenths of [bears] after [from]; null if it didn't. */
    fun timeToNineTenths(bears: Int, from: Duration = Duration.ZERO): Duration? =
        running.drop(index(from)).indexOfFirst { it >= bears * 0.9 }.takeIf { it >= 0 }?.let { STEP * it }

    /** Most requests held between [from] and [until]. */
    fun mostHeld(from: Duration = Duration.ZERO, until: Duration = elapsed): Int = held.between(from, until).max()

    /** Part of [bears] that was in use between [from] and [until]. */
    fun use(bears: Int, from: Duration, until: Duration = elapsed): Double =
        running.between(from, until).map { minOf(it, bears) }.average() / bears

    fun phases(): List<PacePhase?> = tables.map { upstreamOf(it).pace?.phase }

    private fun List<Int>.between(from: Duration, until: Duration) = subList(index(from), index(until))

    private fun index(time: Duration) = (time / STEP).toInt()

    private fun advanceUpstream(now: ModelUpstream) {
        if (!now.isUp) return lose(underWay)
        val finished = underWay.filter { it.startedAt != null && elapsed - it.startedAt >= RUN_TIME * now.slowness }
        finished.forEach { finish(it) }
        underWay = underWay - finished.toSet()
        val free = now.bears - underWay.count { it.startedAt != null }
        val next = underWay.filter { it.startedAt == null }.take(maxOf(free, 0)).toSet()
        underWay = underWay.map { if (it in next) Sent(it.gateway, it.row, elapsed, hasBegun = false) else it }
        val reading = FIRST_EVENT * now.slowness + (TOKEN_TIME * now.promptTokens.toDouble())
        underWay = underWay.map { sent ->
            val isBeginning = !sent.hasBegun && sent.startedAt != null && elapsed - sent.startedAt >= reading
            if (isBeginning) begin(sent) else sent
        }
        if (now.losesEach > 0) lose(underWay.filter { it.hasBegun && it.row.number.value % now.losesEach == 0L })
        if (load.hasReports && elapsed.inWholeMilliseconds % DIGEST_MILLIS == 0L) reportToAll()
    }

    private fun begin(sent: Sent): Sent {
        val sentAt = (sent.row.stage as RequestStage.Sent).sentAt
        val delay = at(elapsed) - sentAt
        change(sent.gateway) { row ->
            val reported = row.withReportedLoad(if (load.hasReports) reportedLoad() else null, at(elapsed))
            reported.copy(health = reported.health.afterAnswer(delay))
        }
        record(sent, AttemptOutcome.Began(delay))
        return Sent(sent.gateway, sent.row, sent.startedAt, hasBegun = true)
    }

    private fun finish(sent: Sent) = change(sent.gateway) { it.withRequestCompleted(null) }

    private fun lose(lost: List<Sent>) {
        lost.forEach { sent ->
            change(sent.gateway) { it.copy(health = it.health.afterFailure(at(elapsed), BACKOFF)) }
            record(sent, AttemptOutcome.Lost)
            finish(sent)
        }
        underWay = underWay - lost.toSet()
    }

    private fun reportToAll() = tables.indices.forEach { gateway ->
        change(gateway) { it.withReportedLoad(reportedLoad(), at(elapsed)) }
    }

    private fun reportedLoad() = underWay.count { it.startedAt != null }.let { ReportedLoad(it, underWay.size - it) }

    private fun sendAll(gateway: Int, now: ModelUpstream) {
        val perStep = load.perSecond?.let { it * STEP.inWholeMilliseconds / 1_000 }
        if (perStep != null) credits = credits.replaced(gateway, credits[gateway] + perStep)
        var isRoom = true
        while (isRoom && (perStep == null || credits[gateway] >= 1)) {
            isRoom = send(gateway, now)
            if (isRoom) credits = credits.replaced(gateway, credits[gateway] - 1)
        }
    }

    private fun send(gateway: Int, now: ModelUpstream): Boolean {
        val call = ColdFleet.request.call.copy(promptTokens = now.promptTokens)
        val stage = RequestStage.Sent(ColdFleet.ENGINE, at(elapsed))
        val row = ColdFleet.request.copy(number = RequestNumber(++lastNumber), call = call, stage = stage)
        if (policy.select(SelectionContext(tables[gateway], row, at(elapsed))).best == null) return false
        change(gateway) { it.withRequestSent(null) }
        tables = tables.replaced(gateway, policy.recordSent(tables[gateway], ColdFleet.ENGINE, row, at(elapsed)))
        val sent = Sent(gateway, row, startedAt = null, hasBegun = false)
        val isRejected = now.isUp && underWay.size >= now.bears + QUEUE
        if (isRejected) reject(sent) else underWay = underWay + sent
        return !isRejected
    }

    private fun reject(sent: Sent) {
        failures = failures + elapsed
        change(sent.gateway) { it.copy(health = it.health.copy(blockedUntil = at(elapsed) + REJECTION_BACKOFF)) }
        record(sent, AttemptOutcome.Rejected(503))
        finish(sent)
    }

    private fun record(sent: Sent, outcome: AttemptOutcome) {
        val recorded = policy.recordOutcome(tables[sent.gateway], sent.row, outcome, at(elapsed))
        tables = tables.replaced(sent.gateway, recorded)
    }

    private fun change(gateway: Int, change: (UpstreamRow) -> UpstreamRow) {
        tables = tables.replaced(gateway, tables[gateway].updateUpstream(ColdFleet.ENGINE, change))
    }

    private fun upstreamOf(tables: GatewayTables) = tables.upstreams.getValue(ColdFleet.ENGINE)

    private fun at(time: Duration): Timestamp = ColdFleet.ORIGIN + time

    private fun startedTables(number: Int): GatewayTables {
        val others = (0 until load.gateways).filter { it != number }.map { "edge-$it" }
        val peers = others.fold(persistentMapOf<String, PeerRow>()) { rows, name ->
            rows.put(name, PeerRow(name, Endpoint("10.0.1.1", 1), addedAt = at(Duration.ZERO)))
        }
        val services = ColdFleet.config.services.mapValues { it.value.copy(cold = null) }.toPersistentMap()
        return GatewayTables(
            GatewayIdentity("edge-$number", GATEWAY_STARTED_MILLIS),
            GatewaySettings(features = persistentSetOf(Feature.PACE)),
            startedAt = at(-GATEWAY_AGE),
            config = ColdFleet.config.copy(services = services),
            upstreams = persistentMapOf(ColdFleet.ENGINE to UpstreamRow(justStarted)),
            upstreamsByService = persistentMapOf(ColdFleet.ENGINES to persistentSetOf(ColdFleet.ENGINE)),
            peers = peers,
        )
    }

    private fun <T> List<T>.replaced(index: Int, value: T) = mapIndexed { i, known -> if (i == index) value else known }

    companion object {
        const val GATEWAY_STARTED_MILLIS = 1L
        val GATEWAY_AGE = 60.seconds
        val justStarted = ColdFleet.engine(
            age = Duration.ZERO,
            coldRemaining = null,
            startedMillis = GATEWAY_STARTED_MILLIS + GATEWAY_AGE.inWholeMilliseconds,
        )
        const val SLOTS = 48
        const val QUEUE = 24
        val STEP = 10.milliseconds
        val RUN_TIME = 600.milliseconds
        val FIRST_EVENT = 100.milliseconds
        val TOKEN_TIME = 0.03.milliseconds
        const val DIGEST_MILLIS = 400L
        val BACKOFF = 400.milliseconds
        val REJECTION_BACKOFF = 100.milliseconds
    }
}
