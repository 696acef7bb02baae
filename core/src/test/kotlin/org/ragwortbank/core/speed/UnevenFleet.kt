package org.ragwortbank.core.speed

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.selection.defaultUpstreamPolicy
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Gateways before 28 engines, two thirds of them quick and one third slow: 180 streams a second of 826 prompt tokens
 * and 29 short answers of 2,368, each for one of [adapterCount] adapters of unequal demand. Digests are up to 600 ms
 * old
 * at a gateway. An adapter that is loaded once stays, and its load takes no time.
 *
 * @property statesSlowness whether answers state the momentary slowness, without which nothing is decided by speed
 */
internal class UnevenFleet(
    gatewayCount: Int,
    private val statesSlowness: Boolean,
    private val adapterCount: Int = 0,
    private val loadFactor: Double = 1.0,
    seed: Int = 1,
) {
    private val random = Random(seed)
    private val policy = defaultUpstreamPolicy()
    private val fixture = GatewayFixture()
    private val config = boundedPauses(fixture.config())
    private val engines = (0 until ENGINES).map { EngineModel(if (it % 3 == 2) 1.7 else 0.7, seed * ENGINES + it) }
    private var residents = List(ENGINES) { persistentMapOf<AdapterKey, Long>() }.toPersistentList()
    private var speeds = List(ENGINES) { GenerationSpeed() }.toPersistentList()
    private var gateways = List(gatewayCount) { emptyGateway("gateway-$it") }.toPersistentList()
    private var millis = 0
    var loads = 0
        private set
    private var lastNumber = 0L

    /** Share of the streams ended so far that paused for longer than callers accept. */
    val lateShare: Double get() = streams.count { it.longestPause > MAX_PAUSE_MILLIS }.toDouble() / streams.size

    private val streams get() = engines.flatMap { it.ended }.filter { it.length == STREAM_TOKENS }

    fun play(seconds: Int) = repeat(seconds * 1_000 / TICK_MILLIS) { tick() }

    private fun tick() {
        millis += TICK_MILLIS
        engines.forEachIndexed { index, engine -> advance(index, engine) }
        if (millis % REPORT_MILLIS == 0) engines.indices.forEach(::report)
        gateways.indices.filter { (millis + it * 7 * TICK_MILLIS) % DIGEST_MILLIS == 0 }.forEach(::sendDigests)
        if (random.nextDouble() < STREAMS_PER_SECOND * loadFactor * TICK_MILLIS / 1_000) send(826.0, STREAM_TOKENS)
        if (random.nextDouble() < SHORTS_PER_SECOND * loadFactor * TICK_MILLIS / 1_000) send(2_368.0, 21)
    }

    private fun advance(index: Int, engine: EngineModel) {
        val before = engine.ended.size
        engine.advance(millis.toDouble())
        engine.begun.forEach { onBegun(it, index, engine) }
        engine.ended.drop(before).forEach { run ->
            val adapter = gateways[run.gateway].requests[run.number]?.call?.adapterKey
            change(run.gateway) { tables ->
                tables.remove(run.number).updateUpstream(idOf(index)) { it.withRequestCompleted(adapter) }
            }
        }
    }

    private fun onBegun(run: Run, index: Int, engine: EngineModel) {
        val tables = gateways[run.gateway]
        val row = tables.requests[run.number] ?: return
        val sentAt = (row.stage as RequestStage.Sent).sentAt
        val load = ReportedLoad(engine.runs.size, 0, engine.slowness().takeIf { statesSlowness })
        change(run.gateway) {
            policy.recordOutcome(it, row, AttemptOutcome.Began(now - sentAt), now)
                .updateUpstream(idOf(index)) { known ->
                    known.withReportedLoad(load, now).copy(health = known.health.afterAnswer(now - sentAt))
                }
                .put(row.copy(stage = RequestStage.Relaying(idOf(index), now)))
        }
    }

    private fun report(index: Int) {
        speeds = speeds.set(index, speeds[index].after(engines[index].generating, now))
    }

    private fun sendDigests(gateway: Int) {
        engines.forEachIndexed { index, engine -> sendDigest(gateway, index, engine) }
        change(gateway) { it.withSpeedsSummed(now) }
    }

    private fun sendDigest(gateway: Int, index: Int, engine: EngineModel) {
        val digest = EngineDigest(
            idOf(index),
            incarnation = 1,
            number = millis.toLong(),
            resident = residents[index],
            freeSlots = 4,
            residentModels = persistentSetOf(GatewayFixture.MODEL),
            runningRequests = engine.runs.size,
            millisPerToken = speeds[index].millisPerToken(now) ?: 0.0,
        )
        change(gateway) { tables -> tables.updateUpstream(idOf(index)) { it.withDigest(digest, now) } }
    }

    private fun send(meanPrompt: Double, length: Int) {
        val gateway = random.nextInt(gateways.size)
        val prompt = (meanPrompt * (0.4 - 0.6 * ln(1 - random.nextDouble()))).coerceAtMost(7_000.0)
        val row = requestRow(prompt.toLong(), length)
        val best = policy.select(SelectionContext(gateways[gateway], row, now)).best ?: return
        if (!best.state.isUsable) return load(gateway, row, best.row.registration.id, prompt, length)
        start(gateway, row, best.row.registration.id, prompt, length)
    }

    /** Has the adapter loaded at [id] for the request; the next digests show it to all gateways. */
    private fun load(gateway: Int, row: RequestRow, id: UpstreamId, prompt: Double, length: Int) {
        val adapter = checkNotNull(row.call.adapterKey)
        val index = id.value.toInt()
        residents = residents.set(index, residents[index].put(adapter, 1))
        loads++
        change(gateway) { tables ->
            tables.updateUpstream(id) { known ->
                known.copy(digest = known.digest?.let { it.copy(resident = it.resident.put(adapter, 1)) })
            }
        }
        start(gateway, row, id, prompt, length)
    }

    private fun start(gateway: Int, row: RequestRow, id: UpstreamId, prompt: Double, length: Int) {
        val sent = row.copy(stage = RequestStage.Sent(id, now))
        change(gateway) { tables ->
            val updated = tables.put(sent).updateUpstream(id) { it.withRequestSent(row.call.adapterKey) }
            policy.recordSent(updated, id, sent, now)
        }
        engines[id.value.toInt()].add(Run(gateway, row.number, prompt, length))
    }

    private fun change(gateway: Int, update: (GatewayTables) -> GatewayTables) {
        gateways = gateways.set(gateway, update(gateways[gateway]))
    }

    private fun requestRow(prompt: Long, length: Int): RequestRow {
        val number = RequestNumber(++lastNumber)
        val call = fixture.call("/chat/", adapterName(), tokens = prompt + length)
            .copy(promptTokens = prompt, id = "id-$lastNumber")
        val route = config.routes.getValue("host").first()
        return RequestRow(
            number, call, route, GatewayFixture.ENGINES, null, 0, prompt, arrivedAt = now, deadline = now,
        )
    }

    /** One of [adapterCount], the popular ones more often; null without adapters. */
    private fun adapterName(): String? =
        if (adapterCount == 0) null else "a${exp(random.nextDouble() * ln(adapterCount + 1.0)).toInt()}"

    private val now get() = Timestamp(0) + millis.milliseconds

    private fun emptyGateway(name: String) = GatewayTables(
        GatewayIdentity(name, 1, domain = FailureDomain("zone-${name.substringAfter('-').toInt() % DOMAINS}")),
        startedAt = now,
        config = config,
        upstreams = engines.indices.fold(persistentMapOf()) { rows, index ->
            val registration = fixture.registration("$index", GatewayFixture.ENGINES)
                .copy(slots = 64, domain = FailureDomain("zone-${index / DOMAINS % DOMAINS}"))
            rows.put(idOf(index), UpstreamRow(registration))
        },
        upstreamsByService = persistentMapOf(
            GatewayFixture.ENGINES to engines.indices.fold(persistentSetOf()) { ids, index -> ids.add(idOf(index)) },
        ),
    )

    private fun boundedPauses(config: ServingConfig) = config.copy(
        routes = persistentMapOf(
            "host" to config.routes.getValue("host")
                .map { it.copy(maxEventGap = MAX_PAUSE_MILLIS.milliseconds) }
                .toPersistentList(),
        ),
    )

    private fun idOf(index: Int) = UpstreamId("$index")

    private companion object {
        const val ENGINES = 28
        const val DOMAINS = 3
        const val TICK_MILLIS = 2
        const val REPORT_MILLIS = 500
        const val DIGEST_MILLIS = 600
        const val STREAMS_PER_SECOND = 180.0
        const val SHORTS_PER_SECOND = 29.0
        const val STREAM_TOKENS = 294
        const val MAX_PAUSE_MILLIS = 400.0
    }
}
