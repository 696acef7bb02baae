package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.tick.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A seeded series of inputs with loads, rejections, losses, restarts, drains, quiet upstreams and new adapter versions.
 *
 * Its answers follow from what the gateway sent, so that equal decisions give equal inputs.
 */
internal class RecordedInputs(seed: Int) {
    private val random = Random(seed)
    private val gateway = GatewayFixture()
    private val engines = listOf("engine-1", "engine-2", "engine-3", "engine-4").map(::UpstreamId)
    private val due = sortedMapOf<Long, List<GatewayInput>>()
    private val loaded = mutableMapOf<UpstreamId, Map<String, Long>>()
    private val lines = mutableListOf<String>()

    /** Plays [steps] steps and returns a line for each effect other than a log line. */
    fun play(steps: Int): List<String> {
        engines.drop(2).forEach { register(it, startedMillis = 1) }
        repeat(steps) { playStep(it) }
        return lines
    }

    private fun playStep(step: Int) {
        perform(GatewayInput.StoreChanged(storeChanges(step), gateway.now))
        if (step % DIGEST_STEPS == 0) engines.forEach(::sendDigest)
        repeat(random.nextInt(MAX_ARRIVALS)) { arrive() }
        if (random.nextInt(NOTICE_ODDS) == 0) perform(notice())
        advance(random.nextInt(MAX_STEP_MILLIS).milliseconds)
    }

    private fun storeChanges(step: Int) = listOfNotNull(
        restart().takeIf { step % RESTART_STEPS == RESTART_STEPS - 1 },
        drain().takeIf { step % DRAIN_STEPS == DRAIN_STEPS - 1 },
        newVersion(step.toLong()).takeIf { step % VERSION_STEPS == VERSION_STEPS - 1 },
    ).toPersistentList()

    private fun restart(): StoreChange {
        val id = engines.random(random)
        loaded.remove(id)
        return registered(id, startedMillis = gateway.now.nanos)
    }

    private fun drain(): StoreChange {
        val id = engines.random(random)
        return registered(id, startedMillis = startOf(id), isAccepting = random.nextBoolean())
    }

    private fun newVersion(version: Long): StoreChange =
        StoreChange.NewestVersionSet(AdapterKey(GatewayFixture.MODEL, "a${random.nextInt(ADAPTERS)}"), version)

    private fun registered(id: UpstreamId, startedMillis: Long, isAccepting: Boolean = true) =
        StoreChange.UpstreamRegistered(
            gateway.registration(id.value, GatewayFixture.ENGINES, isAccepting, startedMillis),
        )

    private fun register(id: UpstreamId, startedMillis: Long) {
        gateway.applyChanges(registered(id, startedMillis))
    }

    private fun startOf(id: UpstreamId): Long = gateway.tables.upstreams[id]?.registration?.startedMillis ?: 1

    private fun notice(): GatewayInput {
        val from = UpstreamIncarnation(engines.random(random), startOf(engines.first()))
        val quietTime = random.nextInt(QUIET_MILLIS).milliseconds
        return GatewayInput.UpstreamNoticeReceived(from, UpstreamNotice(quietTime = quietTime))
    }

    private fun arrive() {
        val path = PATHS.random(random)
        val adapter = if (path in PLAIN_PATHS) null else "a${random.nextInt(ADAPTERS)}"
        val tokens = random.nextLong(MAX_TOKENS)
        gateway.receiveCall(path, gateway.call(path, adapter, tokens))
        record()
    }

    private fun sendDigest(id: UpstreamId) {
        gateway.receiveEngineDigest(id, loaded[id].orEmpty(), freeSlots = random.nextInt(MAX_FREE_SLOTS))
        record()
    }

    private fun advance(time: Duration) {
        val end = gateway.now + time
        while (due.isNotEmpty() && due.firstKey() <= end.nanos) {
            val at = due.firstKey()
            val inputs = due.remove(at).orEmpty()
            gateway.advance((Timestamp(at) - gateway.now).coerceAtLeast(Duration.ZERO), *inputs.toTypedArray())
            record()
        }
        gateway.advance(end - gateway.now)
        record()
    }

    private fun perform(input: GatewayInput) {
        gateway.tick(input)
        record()
    }

    /** Adds a line for each effect, and schedules the upstreams' answers to what was sent. */
    private fun record() {
        gateway.effects.filter { it !is GatewayEffect.Log }.forEach { effect ->
            lines += "${gateway.now.nanos / NANOS_PER_MILLI} ${describe(effect)}"
            if (effect is GatewayEffect.Send) answer(effect.attempt)
            if (effect is GatewayEffect.SendDemandDigest) load(effect)
        }
    }

    private fun load(effect: GatewayEffect.SendDemandDigest) {
        val requested = effect.digest.loadRequests.associate { it.adapter.adapter to (it.version ?: 1L) }
        val kept = loaded[effect.digest.upstream].orEmpty().entries.take(MAX_KEPT).associate { it.key to it.value }
        if (requested.isNotEmpty()) loaded[effect.digest.upstream] = kept + requested
    }

    private fun answer(attempt: UpstreamAttempt) {
        val head = random.nextInt(FIRST_EVENT_MILLIS).milliseconds
        val load = ReportedLoad(random.nextInt(MAX_LOAD), random.nextInt(2)).takeIf { random.nextBoolean() }
        val (number, count) = attempt.number to attempt.attemptNumber
        when (random.nextInt(OUTCOMES)) {
            0 -> schedule(head, GatewayInput.AttemptFailed(number, count, AttemptFailure.ConnectionLost("closed")))
            1 -> schedule(head, GatewayInput.AttemptNotSent(number, count, "refused"))
            2 -> schedule(head, headOf(number, count, AnswerFacts(503, notRun = true, load = load)))
            3 -> schedule(head, headOf(number, count, AnswerFacts(421, notRun = true, load = load)))
            4 -> {
                val failure = headOf(number, count, AnswerFacts(500, notRun = false, load = load))
                schedule(head, failure, complete(number, count))
            }
            5 -> schedule(head, GatewayInput.CallerDisconnected(number))
            6 -> Unit
            else -> {
                schedule(head, headOf(number, count, AnswerFacts(200, notRun = false, load = load)))
                schedule(head + random.nextInt(STREAM_MILLIS).milliseconds, complete(number, count))
            }
        }
    }

    private fun headOf(number: RequestNumber, attempt: Int, facts: AnswerFacts) =
        GatewayInput.AnswerHeadReceived(number, attempt, facts)

    private fun complete(number: RequestNumber, attempt: Int) = GatewayInput.AnswerCompleted(number, attempt)

    private fun schedule(delay: Duration, vararg inputs: GatewayInput) {
        val at = (gateway.now + delay + 1.milliseconds).nanos
        due[at] = due[at].orEmpty() + inputs
    }

    private fun describe(effect: GatewayEffect): String =
        when (effect) {
            is GatewayEffect.Send -> effect.attempt.let {
                val choice = "to ${it.upstream} version ${it.adapterVersion} rank ${it.priority}"
                "send ${it.number}#${it.attemptNumber} $choice"
            }
            is GatewayEffect.Refuse -> "refuse ${effect.number} ${effect.refusal.code} ${effect.refusal.retryAfter}"
            is GatewayEffect.AbortAnswer -> "abort ${effect.number} ${effect.refusal.code}"
            is GatewayEffect.Relay -> "relay ${effect.number}#${effect.attempt}"
            is GatewayEffect.CancelAttempt -> "cancel ${effect.number}#${effect.attempt} ${effect.cause}"
            is GatewayEffect.RemoveRequest -> "remove ${effect.number}"
            is GatewayEffect.SendDemandDigest -> effect.digest.let { digest ->
                val loads = digest.loadRequests.map { "${it.adapter}@${it.version}x${it.requestCount}" }
                "demand ${digest.upstream} $loads in use ${digest.inUse.map { it.adapter }.sorted()}"
            }
            else -> effect::class.simpleName.orEmpty()
        }

    private companion object {
        val PLAIN_PATHS = setOf("/book/x", "/look/x", "/open/x")
        val PATHS = listOf("/chat/x", "/chat/x", "/chat/x", "/resume/x") + PLAIN_PATHS
        const val ADAPTERS = 14
        const val MAX_KEPT = 3
        const val MAX_ARRIVALS = 4
        const val MAX_TOKENS = 60L
        const val MAX_STEP_MILLIS = 60
        const val DIGEST_STEPS = 8
        const val RESTART_STEPS = 60
        const val DRAIN_STEPS = 25
        const val VERSION_STEPS = 40
        const val NOTICE_ODDS = 50
        const val QUIET_MILLIS = 700
        const val MAX_FREE_SLOTS = 4
        const val MAX_LOAD = 6
        const val OUTCOMES = 16
        const val FIRST_EVENT_MILLIS = 250
        const val STREAM_MILLIS = 900
        const val NANOS_PER_MILLI = 1_000_000
    }
}
