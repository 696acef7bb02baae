package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Something that goes wrong with a gateway of a [RateFleet] for [length]. */
internal sealed interface RateFault {
    val length: Duration

    /** It ends, and starts again with nothing known. */
    data class Restart(override val length: Duration) : RateFault

    /** The store lists it no more; it goes on and exchanges digests with the others. */
    data class Lapse(override val length: Duration) : RateFault

    /** It hears no digest, and none of its own arrives. */
    data class Cut(override val length: Duration) : RateFault
}

/** A fault of the gateway with number [gateway] that begins at [at]. */
internal data class RateEvent(val at: Duration, val gateway: Int, val fault: RateFault)

/**
 * Several gateways in virtual time that share one account, with calls at random gateways and digests that take a tick.
 *
 * @param perSecond calls of [CALL_TOKENS] tokens a second over the fleet
 */
internal class RateFleet(
    private val random: Random,
    private val perSecond: Int,
    private val events: List<RateEvent>,
) {
    private val site = GatewayFixture()
    private val schedule = gatewaySchedule()
    private val origin = Timestamp(0) + 1_000.seconds
    private var elapsed = Duration.ZERO
    private var calls = 0L
    private var nodes = (0 until GATEWAYS).map { Node(it, fresh(it, incarnation = 1, first = true), incarnation = 1) }
    private var sent = emptyList<Pair<Duration, Long>>()

    /** Calls that were refused as over the rate. */
    var refused = 0
        private set

    /** Calls that arrived at a gateway that runs. */
    var arrived = 0
        private set

    /** Lets [time] pass. */
    fun run(time: Duration) {
        nodes = nodes.map { step(it, listOf(GatewayInput.StoreRead(everything(), now()))) }
        while (elapsed < time) {
            elapsed += STEP
            val ends = events.filter { it.fault is RateFault.Restart && elapsed in it.at..(it.at + STEP / 2) }
            ends.forEach { event -> nodes = nodes.map { if (it.number == event.gateway) restarted(it) else it } }
            val mail = nodes.flatMap { it.mail }
            nodes = nodes.map { it.copy(mail = emptyList()) }.map { if (down(it.number)) it else tick(it, mail) }
        }
    }

    /** Most tokens that were admitted in any window of [length]. */
    fun mostWithin(length: Duration): Long =
        sent.maxOf { (from, _) -> sent.filter { it.first >= from && it.first - from < length }.sumOf { it.second } }

    private fun tick(node: Node, mail: List<Letter>): Node {
        val heard = mail
            .filter { it.to == node.number && it.from != node.number && !cut(it.from) && !cut(it.to) }
            .filter { random.nextDouble() > LOSS }
            .map { GatewayInput.PeerDigestReceived(it.digest, place(it.from)) }
        val store = if (elapsed.inWholeMilliseconds % STORE_MILLIS == 0L) listOf(read()) else emptyList()
        val chance = perSecond * STEP_SECONDS / GATEWAYS / CALLS_PER_STEP
        val come = (0 until CALLS_PER_STEP).count { random.nextDouble() < chance }
        arrived += come
        val new = (0 until come).map {
            GatewayInput.CallArrived(RequestNumber(++calls), site.call("/book/x", tokens = CALL_TOKENS))
        }
        return step(node, store + heard + node.answers + new)
    }

    private fun step(node: Node, inputs: List<GatewayInput>): Node {
        val result = schedule.run(Tick(now(), inputs.toPersistentList()), node.tables)
        val sends = result.effects.filterIsInstance<GatewayEffect.Send>()
        sent = sent + sends.map { elapsed to CALL_TOKENS }
        refused += result.effects.count { it is GatewayEffect.Refuse }
        val answers = sends.flatMap { effect ->
            val facts = AnswerFacts(status = 200, notRun = false, load = null)
            val send = effect.attempt
            listOf(
                GatewayInput.AnswerHeadReceived(send.number, send.attemptNumber, facts),
                GatewayInput.AnswerCompleted(send.number, send.attemptNumber),
            )
        }
        val mail = result.effects.filterIsInstance<GatewayEffect.SendPeerDigest>()
            .map { Letter(node.number, it.endpoint.port, it.digest) }
        return node.copy(tables = result.tables, answers = answers, mail = mail)
    }

    private fun restarted(node: Node): Node {
        val incarnation = node.incarnation + 1
        return Node(node.number, fresh(node.number, incarnation, first = false), incarnation)
    }

    private fun fresh(number: Int, incarnation: Long, first: Boolean) =
        GatewayTables(GatewayIdentity("entry-$number", incarnation, first), startedAt = now())

    private fun read() = GatewayInput.StoreRead(everything(), now())

    private fun everything() = (
        listOf(StoreChange.ConfigSet(site.config(rate = RATE))) +
            site.everything().drop(1) +
            (0 until GATEWAYS).filter { listed(it) }.map { StoreChange.PeerSeen("entry-$it", place(it)) }
        ).toPersistentList()

    private fun place(number: Int) = Endpoint("10.0.1.$number", number)

    private fun now() = origin + elapsed

    private fun down(gateway: Int) = suffers<RateFault.Restart>(gateway)

    private fun cut(gateway: Int) = suffers<RateFault.Cut>(gateway)

    private fun listed(gateway: Int) = !suffers<RateFault.Lapse>(gateway)

    private inline fun <reified F : RateFault> suffers(gateway: Int): Boolean =
        events.any { it.gateway == gateway && it.fault is F && elapsed >= it.at && elapsed < it.at + it.fault.length }

    private data class Letter(val from: Int, val to: Int, val digest: PeerDigest)

    private data class Node(
        val number: Int,
        val tables: GatewayTables,
        val incarnation: Long,
        val answers: List<GatewayInput> = emptyList(),
        val mail: List<Letter> = emptyList(),
    )

    companion object {
        const val GATEWAYS = 4

        /** Tokens a second, and tokens at once. */
        const val RATE = 60_000L
        const val CALL_TOKENS = 1_100L
        private val STEP = 25.milliseconds
        private const val STEP_SECONDS = 0.025
        private const val CALLS_PER_STEP = 8
        private const val STORE_MILLIS = 750L
        private const val LOSS = 0.02
    }
}
