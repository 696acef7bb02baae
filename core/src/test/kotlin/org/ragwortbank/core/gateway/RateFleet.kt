package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.limits.TokenBucket
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A fault of a gateway of a [RateFleet] that lasts [duration]. */
internal sealed interface RateFault {
    val duration: Duration

    /** The process terminates, and restarts with empty tables. */
    data class Restart(override val duration: Duration) : RateFault

    /** The store no longer lists the gateway; it runs on and exchanges digests with the others. */
    data class ListingLapse(override val duration: Duration) : RateFault

    /** The store comes back from an older copy that lists no gateway; all have joined again after [duration]. */
    data class OlderCopy(override val duration: Duration) : RateFault

    /** The process doesn't run for a while and goes on with the tables that it had; datagrams to it are lost. */
    data class Freeze(override val duration: Duration) : RateFault

    /** The gateway receives no digests, and none of its own arrives. */
    data class Partition(override val duration: Duration) : RateFault
}

/** A fault of the gateway with number [gateway] that begins at [at]. */
internal data class RateEvent(val at: Duration, val gateway: Int, val fault: RateFault)

/** Number of gateways of a [RateFleet], and the rate of its account in tokens per second. */
internal data class RateFleetSize(val gateways: Int = RateFleet.GATEWAYS, val rate: Long = RateFleet.RATE)

/**
 * The calls of a [RateFleet]'s account.
 *
 * @property factorAt factor on the calls per second at a time of the run
 * @property tokens tokens of one call
 */
internal class RateLoad(
    val factorAt: (Duration) -> Double = { 1.0 },
    val tokens: (Random) -> Long = { RateFleet.CALL_TOKENS },
)

/** A call of [tokens] that arrived [at] a time of the run. */
internal data class RateCall(val number: RequestNumber, val at: Duration, val tokens: Long)

/**
 * Several gateways in virtual time that share one account, with calls at random gateways and digests delayed by a tick.
 *
 * @param callsPerSecond calls per second over the fleet
 * @param size gateways, and rate of the account in tokens per second; its burst is as large
 * @param load how the calls vary; by default each has [CALL_TOKENS] tokens
 * @param settings settings of all gateways
 */
internal class RateFleet(
    private val random: Random,
    private val callsPerSecond: Int,
    private val events: List<RateEvent>,
    private val size: RateFleetSize = RateFleetSize(),
    private val load: RateLoad = RateLoad(),
    private val settings: GatewaySettings = GatewaySettings(),
) {
    private val fixture = GatewayFixture()
    private val schedule = gatewaySchedule()
    private val origin = Timestamp(0) + 1_000.seconds
    private var elapsed = Duration.ZERO
    private var lastCallNumber = 0L
    private var gateways = (0 until size.gateways).map {
        GatewayNode(it, newTables(it, incarnation = 1, isFirstStart = true), incarnation = 1)
    }
    private var admissions = emptyList<Pair<Duration, Long>>()

    /** Calls that arrived at running gateways, in their order. */
    var calls = emptyList<RateCall>()
        private set

    /** Numbers of the calls that were admitted. */
    var admitted = emptySet<RequestNumber>()
        private set

    /** Number of calls that were refused. */
    var refused = 0
        private set

    /** Number of calls that arrived at a running gateway. */
    var arrived = 0
        private set

    /** Number of digests that were sent. */
    var digestsSent = 0L
        private set

    /** Runs the fleet for [time]. */
    fun run(time: Duration) {
        gateways = gateways.map { step(it, listOf(storeRead())) }
        while (elapsed < time) {
            elapsed += STEP
            val restarts = events.filter { it.fault is RateFault.Restart && elapsed in it.at..(it.at + STEP / 2) }
            restarts.forEach { event ->
                gateways = gateways.map { if (it.number == event.gateway) restart(it) else it }
            }
            val inFlight = gateways.flatMap { it.outbox }
            gateways = gateways
                .map { it.copy(outbox = emptyList()) }
                .map { if (isDown(it.number)) it else tick(it, inFlight) }
        }
    }

    /** Most tokens admitted in any window of [duration]. */
    fun maxTokensWithin(duration: Duration): Long =
        admissions.maxOf { (from, _) ->
            admissions.filter { it.first >= from && it.first - from < duration }.sumOf { it.second }
        }

    /** The calls so far that one exact bucket of the account's [rate], with as much burst, would have admitted. */
    fun centrallyAdmitted(rate: Long): List<RateCall> {
        val full = TokenBucket(rate, rate, rate * TokenBucket.NANO_PER_TOKEN, origin)
        return calls.fold(full to emptyList<RateCall>()) { (bucket, admitted), call ->
            val filled = bucket.refill(origin + call.at)
            val isAdmitted = filled.canTake(minOf(call.tokens, rate))
            if (isAdmitted) filled.take(call.tokens) to admitted + call else filled to admitted
        }.second
    }

    private fun tick(gateway: GatewayNode, inFlight: List<DigestInFlight>): GatewayNode {
        val received = inFlight
            .filter { it.to == gateway.number && it.from != gateway.number }
            .filter { !isPartitioned(it.from) && !isPartitioned(it.to) }
            .filter { random.nextDouble() > LOSS }
            .map { GatewayInput.PeerDigestReceived(it.digest, endpointOf(it.from)) }
        val store = if (elapsed.inWholeMilliseconds % STORE_MILLIS == 0L) listOf(storeRead()) else emptyList()
        val chance = callsPerSecond * load.factorAt(elapsed) * STEP_SECONDS / size.gateways / CALLS_PER_STEP
        val callCount = (0 until CALLS_PER_STEP).count { random.nextDouble() < chance }
        arrived += callCount
        val arriving = (0 until callCount).map {
            RateCall(RequestNumber(++lastCallNumber), elapsed, load.tokens(random))
        }
        calls = calls + arriving
        return step(gateway, store + received + gateway.answers + arriving.map { arrivalOf(it) })
    }

    private fun arrivalOf(call: RateCall) =
        GatewayInput.CallArrived(call.number, fixture.call("/book/x", tokens = call.tokens))

    private fun step(gateway: GatewayNode, inputs: List<GatewayInput>): GatewayNode {
        val result = schedule.run(Tick(now(), inputs.toPersistentList()), gateway.tables)
        val sends = result.effects.filterIsInstance<GatewayEffect.Send>()
        val tokensByNumber = calls.takeLast(RECENT_CALLS).associate { it.number to it.tokens }
        admissions = admissions + sends.map { elapsed to tokensByNumber.getValue(it.attempt.number) }
        admitted = admitted + sends.map { it.attempt.number }
        refused += result.effects.count { it is GatewayEffect.Refuse }
        val answers = sends.flatMap { effect ->
            val facts = AnswerFacts(status = 200, notRun = false, load = null)
            val send = effect.attempt
            listOf(
                GatewayInput.AnswerHeadReceived(send.number, send.attemptNumber, facts),
                GatewayInput.AnswerCompleted(send.number, send.attemptNumber),
            )
        }
        val outbox = result.effects.filterIsInstance<GatewayEffect.SendPeerDigest>()
            .flatMap { sent -> sent.endpoints.map { DigestInFlight(gateway.number, it.port, sent.digest) } }
        digestsSent += outbox.size
        return gateway.copy(tables = result.tables, answers = answers, outbox = outbox)
    }

    private fun restart(gateway: GatewayNode): GatewayNode {
        val incarnation = FIRST_RESTART_MILLIS + elapsed.inWholeMilliseconds
        return GatewayNode(gateway.number, newTables(gateway.number, incarnation, isFirstStart = false), incarnation)
    }

    private fun newTables(number: Int, incarnation: Long, isFirstStart: Boolean) =
        GatewayTables(GatewayIdentity("entry-$number", incarnation, isFirstStart), settings, startedAt = now())

    private fun storeRead(): GatewayInput {
        val era = 1L + events.count { it.fault is RateFault.OlderCopy && elapsed >= it.at }
        return GatewayInput.StoreRead(storeContents(), now(), StorePosition(era, revision = 1))
    }

    private fun storeContents() = (
        listOf(StoreChange.ConfigSet(fixture.config(rate = size.rate))) +
            fixture.storeContents().drop(1) +
            (0 until size.gateways)
                .filter { isListed(it) }
                .map { StoreChange.PeerRegistered("entry-$it", endpointOf(it)) }
        ).toPersistentList()

    private fun endpointOf(number: Int) = Endpoint("10.0.1.$number", number)

    private fun now() = origin + elapsed

    private fun isDown(gateway: Int) = hasFault<RateFault.Restart>(gateway) || hasFault<RateFault.Freeze>(gateway)

    private fun isPartitioned(gateway: Int) = hasFault<RateFault.Partition>(gateway)

    private fun isListed(gateway: Int) = !hasFault<RateFault.ListingLapse>(gateway) && !isCopyEmpty()

    private fun isCopyEmpty() =
        events.any { it.fault is RateFault.OlderCopy && elapsed >= it.at && elapsed < it.at + it.fault.duration }

    private inline fun <reified T : RateFault> hasFault(gateway: Int): Boolean =
        events.any { it.gateway == gateway && it.fault is T && elapsed >= it.at && elapsed < it.at + it.fault.duration }

    private data class DigestInFlight(val from: Int, val to: Int, val digest: PeerDigest)

    private data class GatewayNode(
        val number: Int,
        val tables: GatewayTables,
        val incarnation: Long,
        val answers: List<GatewayInput> = emptyList(),
        val outbox: List<DigestInFlight> = emptyList(),
    )

    companion object {
        const val GATEWAYS = 4

        /** Rate in tokens per second, and burst in tokens. */
        const val RATE = 60_000L
        const val CALL_TOKENS = 1_100L
        private val STEP = 25.milliseconds
        private const val STEP_SECONDS = 0.025
        private const val CALLS_PER_STEP = 8
        private const val STORE_MILLIS = 750L
        private const val RECENT_CALLS = 8_192
        private const val LOSS = 0.02

        /** Later than the first start by more than the starts of one power loss differ. */
        private const val FIRST_RESTART_MILLIS = 10_000L
    }
}
