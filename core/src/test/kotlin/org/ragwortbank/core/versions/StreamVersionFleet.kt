package org.ragwortbank.core.versions

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.ConnectionUse
import org.ragwortbank.core.gateway.ExchangeTrace
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.gatewaySchedule
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.serving.StreamId
import org.ragwortbank.core.serving.StreamResumption
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Gateways in virtual time between one store, upstreams of several versions, and callers that take up streams. */
internal class StreamVersionFleet(private val random: Random, private val plan: StreamFleetPlan) {
    private val fixture = GatewayFixture()
    private val schedule = gatewaySchedule()
    private val origin = Timestamp(0) + 1_000.seconds
    private var elapsed = Duration.ZERO
    private var lastRequest = 0L
    private var store = VersionStore()
    private var copies = emptyList<Pair<Duration, VersionStore>>()
    private var storeAwayUntil: Duration? = null
    private var events = emptyList<Pair<Duration, () -> Unit>>()
    private var gateways = (0 until plan.gateways).map { FleetGateway(it, 1, newTables(it, 1)) }
    private var upstreams = plan.versions.mapIndexed { number, version -> FleetUpstream(number, 1, 1, version) }
    private var runs = emptyMap<RequestNumber, FleetRun>()
    private var links = emptyMap<Triple<Int, Int, Pair<Int, Int>>, Timestamp>()
    private var carriers = emptyMap<RequestNumber, Int>()

    /** All streams by their numbers. */
    var streams = emptyMap<Int, CallerStream>()
        private set

    /** Streams that hold events of two versions, or of an upstream that states none beside others. */
    val joined: List<CallerStream> get() = streams.values.filter { it.versions.size > 1 || null in it.versions }

    /** What the store has of the upstreams' versions. */
    val storedVersions: ServiceVersions? get() = store.versions[GatewayFixture.ENGINES]?.versions

    /** Share of the streams whose first event came. */
    val shareBegun: Double
        get() = streams.values.count { it.versions.isNotEmpty() }.toDouble() / streams.size

    /** Number of the streams that broke off while two upstreams of their version served, and the share that went on. */
    val takeUps: Pair<Int, Double>
        get() {
            val all = streams.values.sumOf { it.takeUps }
            return all to streams.values.sumOf { it.takeUpsGoneOn }.toDouble() / all.coerceAtLeast(1)
        }

    /** Runs the fleet for [time], without new streams in the last seconds. */
    fun run(time: Duration) {
        upstreams.forEach { register(it) }
        plan.faults.forEach { (at, fault) -> at(at) { apply(fault) } }
        while (elapsed < time) {
            elapsed += STEP
            val (due, later) = events.partition { it.first <= elapsed }
            events = later
            due.forEach { it.second() }
            copies = copies + (elapsed to store)
            if (elapsed < time - LAST_CALLS && random.nextDouble() < plan.callsPerSecond * STEP_SECONDS) begin()
            streams.values.filter { !it.isOver(elapsed) }.forEach(::advance)
            advanceRuns()
            gateways.indices.forEach(::tick)
        }
    }

    private fun at(time: Duration, action: () -> Unit) {
        events = events + (time to action)
    }

    private fun soon(action: () -> Unit) = at(elapsed + STEP * (1 + random.nextInt(MAX_DELAY_STEPS)), action)

    // Callers

    private fun begin() {
        val stream = CallerStream(
            number = streams.size + 1,
            eventsLeft = MIN_EVENTS + random.nextInt(MORE_EVENTS),
            nextTryAt = elapsed,
            lastSignAt = elapsed,
            giveUpAt = elapsed + CALLER_TIME,
        )
        streams = streams + (stream.number to stream)
    }

    private fun advance(stream: CallerStream) {
        val isDue = stream.nextTryAt?.let { it <= elapsed } ?: false
        if (isDue) send(stream)
        val isCounted = stream.isBroken && stream.takeUps > stream.takeUpsGoneOn
        if (isCounted && servingAt(stream.versions.first()) < 2) {
            update(stream.number) { it.copy(takeUps = it.takeUps - 1) }
        }
        if (stream.nextTryAt == null && elapsed - stream.lastSignAt > CALLER_PATIENCE) abandon(stream)
    }

    private fun send(stream: CallerStream) {
        val gateway = gateways.filter { it.downUntil == null }.randomOrNull(random) ?: return
        val number = RequestNumber(++lastRequest)
        val call = fixture.call(PATH).copy(
            id = "stream-${stream.number}-${stream.attempts + 1}",
            resumption = stream.firstAttempt?.let { StreamResumption(StreamId(it)) },
        )
        carriers = carriers + (number to stream.number)
        update(stream.number) { it.copy(attempts = it.attempts + 1, nextTryAt = null, lastSignAt = elapsed) }
        post(gateway.number, GatewayInput.CallArrived(number, call))
    }

    private fun abandon(stream: CallerStream) {
        val number = carriers.entries.firstOrNull { it.value == stream.number }?.key ?: return
        gateways.forEach { if (number in it.tables.requests) post(it.number, GatewayInput.CallerDisconnected(number)) }
        lose(number, elapsed)
    }

    /** The answer [number] is over for its caller, who comes back at [returnAt]. */
    private fun lose(number: RequestNumber, returnAt: Duration) {
        val stream = carriers[number]?.let { streams[it] } ?: return
        carriers = carriers - number
        val version = stream.versions.firstOrNull()
        val breaksOff = stream.versions.isNotEmpty() && !stream.isBroken && servingAt(version) >= 2
        update(stream.number) {
            it.copy(
                nextTryAt = returnAt,
                isBroken = it.isBroken || it.versions.isNotEmpty(),
                takeUps = it.takeUps + if (breaksOff) 1 else 0,
                giveUpAt = if (breaksOff) elapsed + CALLER_TIME else it.giveUpAt,
            )
        }
    }

    private fun servingAt(version: String?) = upstreams.count { it.downUntil == null && it.version == version }

    private fun receiveEvent(number: RequestNumber, version: String?) {
        val stream = carriers[number]?.let { streams[it] } ?: return
        val firstAttempt = stream.firstAttempt ?: "stream-${stream.number}-${stream.attempts}"
        val goesOn = stream.isBroken && stream.takeUps > stream.takeUpsGoneOn
        update(stream.number) {
            it.copy(
                eventsLeft = it.eventsLeft - 1,
                versions = it.versions + version,
                firstAttempt = firstAttempt,
                lastSignAt = elapsed,
                isBroken = false,
                takeUpsGoneOn = it.takeUpsGoneOn + if (goesOn) 1 else 0,
            )
        }
    }

    private fun update(number: Int, change: (CallerStream) -> CallerStream) {
        streams = streams + (number to change(streams.getValue(number)))
    }

    // Upstreams

    private fun advanceRuns() =
        runs.values.filter { it.nextAt <= elapsed }.forEach { run ->
            val gateway = gateways[run.gateway]
            when {
                !run.hasHead -> {
                    val facts = AnswerFacts(OK, false, null)
                    post(run, GatewayInput.AnswerHeadReceived(run.number, run.attempt, facts, traceOf(run)))
                    runs = runs + (run.number to run.copy(hasHead = true))
                }
                run.isRelayed && gateway.frozenUntil == null -> passEvent(run)
            }
        }

    /** A gateway keeps its connection to a process of an upstream. */
    private fun traceOf(run: FleetRun): ExchangeTrace {
        val gateway = gateways[run.gateway]
        val link = linkOf(gateway, upstreams[run.upstream])
        if (link !in links) links = links + (link to run.sentAt)
        return ExchangeTrace(ConnectionUse(links.keys.indexOf(link).toLong(), 0, links.getValue(link)))
    }

    private fun linkOf(gateway: FleetGateway, upstream: FleetUpstream) =
        Triple(gateway.number, gateway.incarnation, upstream.number to upstream.start)

    private fun passEvent(run: FleetRun) {
        val isLast = carriers[run.number]?.let { streams[it] }?.eventsLeft == 1
        receiveEvent(run.number, run.version)
        runs = runs + (run.number to run.copy(nextAt = elapsed + EVENT_GAP))
        if (!isLast) return
        runs = runs - run.number
        carriers = carriers - run.number
        post(run, GatewayInput.AnswerCompleted(run.number, run.attempt))
    }

    private fun register(upstream: FleetUpstream) {
        val registration = fixture
            .registration(upstream.id.value, GatewayFixture.ENGINES, startedMillis = upstream.start.toLong())
            .copy(endpoint = upstream.endpoint, slots = SLOTS, version = upstream.version?.let(::SoftwareVersion))
        store = store.registered(StoreChange.UpstreamRegistered(registration))
    }

    private fun end(number: Int, downUntil: Duration, isListed: Boolean) {
        val id = upstreams[number].id
        if (isListed) at(elapsed + LISTED_TIME) { if (upstreams[number].downUntil != null) store = store.removed(id) }
        if (!isListed) store = store.removed(id)
        runs.values.filter { it.upstream == number }.forEach { run ->
            runs = runs - run.number
            post(run, GatewayInput.AttemptFailed(run.number, run.attempt, CLOSED))
        }
        val ended = upstreams[number]
        gateways.filter { linkOf(it, ended) in links }
            .forEach { post(it.number, GatewayInput.IdleConnectionClosed(ended.endpoint)) }
        change(number) { it.copy(downUntil = downUntil) }
    }

    private fun restart(fault: StreamFleetFault.Restart) {
        change(fault.number) {
            val incarnation = if (fault.keepsId) it.incarnation else it.incarnation + 1
            FleetUpstream(it.number, incarnation, it.start + 1, fault.version)
        }
        val id = upstreams[fault.number].id
        soon { if (upstreams[fault.number].id == id) register(upstreams[fault.number]) }
    }

    private fun change(number: Int, change: (FleetUpstream) -> FleetUpstream) {
        upstreams = upstreams.map { if (it.number == number) change(it) else it }
    }

    private fun receive(gateway: FleetGateway, effect: GatewayEffect.Send) {
        val attempt = effect.attempt
        val upstream = upstreams.first { it.endpoint == attempt.endpoint }
        val rejected = AnswerFacts(MISDIRECTED, true, null)
        when {
            upstream.downUntil != null ->
                post(gateway.number, GatewayInput.AttemptNotSent(attempt.number, attempt.attemptNumber, "refused"))
            upstream.id != attempt.upstream -> soon {
                post(gateway.number, GatewayInput.AnswerHeadReceived(attempt.number, attempt.attemptNumber, rejected))
            }
            else -> runs = runs + (attempt.number to runAt(gateway, upstream, effect))
        }
    }

    private fun runAt(gateway: FleetGateway, upstream: FleetUpstream, effect: GatewayEffect.Send) =
        FleetRun(
            number = effect.attempt.number,
            attempt = effect.attempt.attemptNumber,
            gateway = gateway.number,
            upstream = upstream.number,
            version = upstream.version,
            sentAt = now(),
            nextAt = elapsed + MIN_BEGIN_TIME + STEP * random.nextInt(MAX_BEGIN_STEPS),
        )

    // Gateways

    private fun post(number: Int, input: GatewayInput) {
        gateways = gateways.map { if (it.number == number) it.copy(inputs = it.inputs + input) else it }
    }

    private fun post(run: FleetRun, input: GatewayInput) = post(run.gateway, input)

    private fun tick(number: Int) {
        val gateway = gateways[number]
        if (gateway.downUntil != null || gateway.frozenUntil != null) return
        val result = schedule.run(Tick(now(), gateway.inputs.toPersistentList()), gateway.tables)
        set(gateway.copy(tables = result.tables, inputs = emptyList()))
        result.effects.forEach { perform(gateways[number], it) }
        readIfDue(gateways[number])
    }

    private fun set(gateway: FleetGateway) {
        gateways = gateways.map { if (it.number == gateway.number) gateway else it }
    }

    private fun perform(gateway: FleetGateway, effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.Send -> receive(gateway, effect)
            is GatewayEffect.Relay -> runs[effect.number]?.takeIf { it.attempt == effect.attempt }?.let {
                runs = runs + (effect.number to it.copy(isRelayed = true, nextAt = elapsed))
            }
            is GatewayEffect.CancelAttempt -> runs[effect.number]?.takeIf { it.attempt == effect.attempt }?.let {
                runs = runs - effect.number
            }
            is GatewayEffect.Refuse -> refuse(effect.number, effect.refusal)
            is GatewayEffect.AbortAnswer -> refuse(effect.number, effect.refusal)
            is GatewayEffect.RefreshStore -> set(gateway.copy(readAt = elapsed))
            is GatewayEffect.SaveVersions, is GatewayEffect.SaveStreamRecord -> write(gateway, effect)
            else -> Unit
        }
    }

    private fun refuse(number: RequestNumber, refusal: Refusal) =
        lose(number, elapsed + (refusal.retryAfter ?: MIN_RETURN_TIME) + STEP * random.nextInt(MAX_DELAY_STEPS))

    /**
     * A write that the store doesn't answer may be carried out, at once, seconds later, or never; a record not in
     * another era, which doesn't have its lease.
     */
    private fun write(gateway: FleetGateway, effect: GatewayEffect) {
        val isBad = isStoreCutFrom(gateway) || random.nextDouble() < plan.badWriteShare
        val answer = { isSaved: Boolean -> answerWrite(gateway, effect, isSaved) }
        when (if (isBad) random.nextInt(BAD_KINDS) else -1) {
            -1 -> soon {
                store = store.after(effect)
                soon { answer(true) }
            }
            0 -> at(elapsed + CALL_TIMEOUT) { answer(false) }
            1 -> {
                soon { store = store.after(effect) }
                at(elapsed + CALL_TIMEOUT) { answer(false) }
            }
            else -> {
                val era = store.era
                at(elapsed + CALL_TIMEOUT) { answer(false) }
                at(elapsed + CALL_TIMEOUT * (1 + random.nextInt(LATE_TIMES))) {
                    if (store.era == era || effect is GatewayEffect.SaveVersions) store = store.after(effect)
                }
            }
        }
    }

    private fun isStoreCutFrom(gateway: FleetGateway) = storeAwayUntil != null || gateway.cutUntil != null

    private fun answerWrite(gateway: FleetGateway, effect: GatewayEffect, isSaved: Boolean) {
        val key = (effect as? GatewayEffect.SaveStreamRecord)?.record?.key ?: return
        if (gateways[gateway.number].incarnation != gateway.incarnation) return
        val input = if (isSaved) GatewayInput.StreamRecordSaved(key) else GatewayInput.StreamRecordFailed(key)
        post(gateway.number, input)
    }

    /** One read at a time; one that was asked for follows the one under way. */
    private fun readIfDue(gateway: FleetGateway) {
        if (gateway.isReading || elapsed < gateway.readAt) return
        val requestedAt = now()
        val isCut = isStoreCutFrom(gateway)
        set(gateway.copy(isReading = true, readAt = elapsed + READ_INTERVAL))
        if (isCut) return at(elapsed + CALL_TIMEOUT) { endRead(gateway.incarnation, gateway.number, null) }
        soon {
            val after = gateway.position?.takeIf { it.era == store.era }?.revision
            val isWhole = after == null || random.nextInt(WHOLE_READ_ODDS) == 0
            val position = store.position
            val input = when {
                isWhole -> GatewayInput.StoreRead(whole().toPersistentList(), requestedAt, position)
                else -> GatewayInput.StoreChanged(store.changesAfter(after).toPersistentList(), requestedAt, position)
            }
            soon { endRead(gateway.incarnation, gateway.number, input to position) }
        }
    }

    private fun endRead(incarnation: Int, number: Int, answer: Pair<GatewayInput, StorePosition>?) {
        val gateway = gateways[number].takeIf { it.incarnation == incarnation } ?: return
        set(gateway.copy(isReading = false, position = answer?.second ?: gateway.position))
        answer?.let { post(number, it.first) }
    }

    private fun whole(): List<StoreChange> {
        val config = fixture.config()
        val public = config.routes.mapValues { (_, routes) ->
            routes.map { it.copy(isPublic = true) }.toPersistentList()
        }
        val peers = gateways.filter { it.downUntil == null }
            .map { StoreChange.PeerRegistered("entry-${it.number}", Endpoint("10.0.1.${it.number}", PORT)) }
        return persistentListOf<StoreChange>(StoreChange.ConfigSet(config.copy(routes = public.toPersistentMap())))
            .addAll(peers)
            .addAll(store.contents)
    }

    // Faults

    private fun apply(fault: StreamFleetFault) =
        when (fault) {
            is StreamFleetFault.Kill -> fault.numbers.forEach { kill(it, fault.downTime) }
            is StreamFleetFault.Cut -> {
                set(gateways[fault.number].copy(cutUntil = elapsed + fault.time))
                at(elapsed + fault.time) { set(gateways[fault.number].copy(cutUntil = null)) }
            }
            is StreamFleetFault.Freeze -> {
                set(gateways[fault.number].copy(frozenUntil = elapsed + fault.time))
                at(elapsed + fault.time) { set(gateways[fault.number].copy(frozenUntil = null)) }
            }
            is StreamFleetFault.Restart -> {
                end(fault.number, elapsed + fault.downTime, fault.isListed)
                at(elapsed + fault.downTime) { restart(fault) }
            }
            is StreamFleetFault.End -> end(fault.number, Duration.INFINITE, fault.isListed)
            is StreamFleetFault.Drill -> drill(fault)
        }

    private fun drill(fault: StreamFleetFault.Drill) {
        val copy = copies.last { it.first <= elapsed - fault.copyAge }.second
        storeAwayUntil = elapsed + fault.awayTime
        at(elapsed + fault.awayTime) {
            storeAwayUntil = null
            store = store.backFrom(copy)
            upstreams.indices.forEach { number ->
                at(elapsed + STEP * random.nextInt(MAX_REWRITE_STEPS)) { registerLive(number) }
            }
            at(elapsed + EXPIRY_TIME) { removeGone() }
        }
    }

    private fun registerLive(number: Int) {
        if (upstreams[number].downUntil == null) register(upstreams[number])
    }

    private fun removeGone() {
        val live = upstreams.filter { it.downUntil == null }.map { it.id }
        store = store.upstreams.keys.filter { it !in live }.fold(store) { current, id -> current.removed(id) }
    }

    private fun kill(number: Int, downTime: Duration) {
        val killed = gateways[number]
        runs = runs.filterValues { it.gateway != number }
        val lost = killed.tables.requests.keys + killed.inputs.mapNotNull { (it as? GatewayInput.CallArrived)?.number }
        val incarnation = killed.incarnation + 1
        set(FleetGateway(number, incarnation, newTables(number, incarnation), downUntil = elapsed + downTime))
        lost.forEach { lose(it, elapsed + STEP * (1 + random.nextInt(MAX_DELAY_STEPS))) }
        at(elapsed + downTime) {
            val back = gateways[number]
            val tables = newTables(number, incarnation)
            if (back.incarnation == incarnation) set(FleetGateway(number, incarnation, tables, readAt = elapsed))
        }
    }

    private fun newTables(number: Int, incarnation: Int) =
        GatewayTables(GatewayIdentity("entry-$number", incarnation.toLong(), incarnation == 1), startedAt = now())

    private fun now() = origin + elapsed

    private data class FleetGateway(
        val number: Int,
        val incarnation: Int,
        val tables: GatewayTables,
        val inputs: List<GatewayInput> = emptyList(),
        val downUntil: Duration? = null,
        val cutUntil: Duration? = null,
        val frozenUntil: Duration? = null,
        val readAt: Duration = Duration.ZERO,
        val isReading: Boolean = false,
        val position: StorePosition? = null,
    )

    private data class FleetUpstream(
        val number: Int,
        val incarnation: Int,
        val start: Int,
        val version: String?,
        val downUntil: Duration? = null,
    ) {
        val id = UpstreamId("engine-$number-$incarnation")
        val endpoint = Endpoint("10.0.2.$number", PORT)
    }

    private data class FleetRun(
        val number: RequestNumber,
        val attempt: Int,
        val gateway: Int,
        val upstream: Int,
        val version: String?,
        val sentAt: Timestamp,
        val nextAt: Duration,
        val hasHead: Boolean = false,
        val isRelayed: Boolean = false,
    )

    private companion object {
        const val PATH = "/resume/x"
        const val PORT = 80
        const val SLOTS = 64
        const val OK = 200
        const val MISDIRECTED = 421
        val STEP = 25.milliseconds
        const val STEP_SECONDS = 0.025
        const val MAX_DELAY_STEPS = 4
        const val MIN_EVENTS = 6
        const val MORE_EVENTS = 15
        val EVENT_GAP = 150.milliseconds
        val MIN_BEGIN_TIME = 100.milliseconds
        const val MAX_BEGIN_STEPS = 12
        val CALLER_TIME = 12.seconds
        val CALLER_PATIENCE = 2_200.milliseconds
        val MIN_RETURN_TIME = 100.milliseconds
        val LAST_CALLS = 6.seconds
        val LISTED_TIME = 1_200.milliseconds
        const val MAX_REWRITE_STEPS = 48
        val EXPIRY_TIME = 3.seconds
        val READ_INTERVAL = 750.milliseconds
        val CALL_TIMEOUT = 1.seconds
        const val BAD_KINDS = 3
        const val LATE_TIMES = 4
        const val WHOLE_READ_ODDS = 20
        val CLOSED = AttemptFailure.ConnectionLost("the connection was closed")
    }
}
