package org.ragwortbank.core.pressure

import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.PeerRow
import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class UpstreamMemoryLimitsTest {
    private val gateway = GatewayFixture()
    private val engines = listOf(UpstreamId("engine-1"), UpstreamId("engine-2"))
    private var lastDigestNumber = 1_000L

    // Load: six requests of 400 tokens at once for two engines of 1,000 tokens.
    @Test
    fun `given engines of which each holds two requests, then the others wait and go when one has ended`() {
        turnOn()
        val numbers = (1..6).map { send(tokens = 400) }
        assertEquals(4, inFlight())
        assertTrue(gateway.tables.upstreams.values.all { it.tokensInFlight <= 1_000 })
        complete(numbers.first())
        assertEquals(4, inFlight())
        assertEquals(1, gateway.tables.waiting.size)
    }

    // Load: a request for more than an engine has, at idle engines.
    @Test
    fun `given an engine without a request, then it gets one, however large`() {
        turnOn()
        repeat(3) { send(tokens = 5_000) }
        assertEquals(2, inFlight())
    }

    // Load: one engine filled by other gateways.
    @Test
    fun `given an engine that others have filled, then requests go to the other one`() {
        turnOn()
        receiveDigest(engines[0], usedTokens = 900, running = 3)
        repeat(2) { send(tokens = 400) }
        assertEquals(listOf(0, 2), engines.map { gateway.tables.upstreams.getValue(it).inFlight })
        receiveDigest(engines[0], usedTokens = 100, running = 1)
        send(tokens = 400)
        assertEquals(1, gateway.tables.upstreams.getValue(engines[0]).inFlight)
    }

    @Test
    fun `given an engine whose waiting requests will fill it, then it gets no more`() {
        turnOn()
        receiveDigest(engines[0], usedTokens = 300, running = 1, queued = 2)
        repeat(2) { send(tokens = 300) }
        assertEquals(listOf(0, 2), engines.map { gateway.tables.upstreams.getValue(it).inFlight })
    }

    // Load: many gateways that read in the same digest that an engine has room.
    @Test
    fun `given twenty gateways, then each sends its share of what was free at the digest, and one request at least`() {
        turnOn()
        receiveDigest(engines[0], usedTokens = 0, running = 1)
        val endpoint = Endpoint("10.0.1.1", 80)
        val peers = (1..19).associate { "g$it" to PeerRow("g$it", endpoint, addedAt = gateway.now) }.toPersistentMap()
        val tables = gateway.tables.copy(peers = peers)
        assertEquals(2, roomAt(tables, tokens = 50))
        assertEquals(1, roomAt(tables, tokens = 400))
        assertEquals(0, roomAt(tables, tokens = 400, sentSinceDigest = 400))
        assertEquals(20, roomAt(gateway.tables, tokens = 50))
    }

    // Load: more gateways than twice the connections of an upstream at which others have requests under way.
    @Test
    fun `given more gateways than connections, then each may send one request at least`() {
        turnOn()
        val endpoint = Endpoint("10.0.1.1", 80)
        val peers = (1..19).associate { "g$it" to PeerRow("g$it", endpoint, addedAt = gateway.now) }.toPersistentMap()
        val tables = gateway.tables.copy(peers = peers)
        val number = gateway.receiveCall("/look/x")
        val request = gateway.tables.requests.getValue(number)
        val busy = gateway.tables.upstreams.values.first().copy(inFlight = 0, reportedLoad = ReportedLoad(2, 0))
        assertEquals(1, ConnectionLimit().roomFor(SelectionContext(tables, request, gateway.now), busy))
        val used = busy.copy(inFlight = 1)
        assertEquals(0, ConnectionLimit().roomFor(SelectionContext(tables, request, gateway.now), used))
    }

    // Guards against work for each upstream that grows with the fleet: 350 gateways by 1,100 upstreams a request.
    @Test
    fun `given many gateways, then they are counted once for a request and not for each upstream`() {
        turnOn()
        receiveDigest(engines[0], usedTokens = 100, running = 1)
        val number = send(tokens = 50)
        val peers = CountedPeers(gateway.tables.peers)
        val request = gateway.tables.requests.getValue(number)
        val context = SelectionContext(gateway.tables.copy(peers = peers), request, gateway.now)
        val upstream = gateway.tables.upstreams.getValue(engines[0])
        val limits = listOf(TokenMemoryLimit(), ConnectionLimit())
        limits.forEach { it.roomFor(context, upstream) }
        val readsForOne = peers.reads
        repeat(10) { limits.forEach { it.roomFor(context, upstream) } }
        assertEquals(readsForOne, peers.reads)
    }

    /** Counts how often all gateways are gone through. */
    private class CountedPeers(
        private val peers: PersistentMap<String, PeerRow>,
    ) : PersistentMap<String, PeerRow> by peers {
        var reads = 0
            private set

        override val values: ImmutableCollection<PeerRow> get() = peers.values.also { reads++ }
    }

    private fun roomAt(tables: GatewayTables, tokens: Long, sentSinceDigest: Long = 0): Int {
        val number = send(tokens)
        val request = gateway.tables.requests.getValue(number)
        val upstream = tables.upstreams.getValue(engines[0])
            .copy(tokensInFlight = 0, tokensSinceDigest = sentSinceDigest)
        return TokenMemoryLimit().roomFor(SelectionContext(tables, request, gateway.now), upstream)
    }

    @Test
    fun `given a digest that is too old, then only this gateway's own tokens count`() {
        turnOn()
        engines.forEach { receiveDigest(it, usedTokens = 1_000, running = 4) }
        gateway.advance(10.seconds)
        gateway.confirmConfiguration()
        send(tokens = 400)
        assertEquals(1, inFlight())
    }

    @Test
    fun `given full engines, then a request waits as long as usual and is refused as not run`() {
        turnOn()
        repeat(2) { send(tokens = 1_000) }
        send(tokens = 1_000)
        gateway.advance(2_600.milliseconds)
        assertEquals(ResultCode.QUEUE_TIMEOUT, gateway.refusals().single().code)
    }

    // Load: sixteen requests at once for two plain upstreams that take three connections each from all gateways.
    @Test
    fun `given plain upstreams with few connections, then no more requests are sent than those allow`() {
        turnOn()
        repeat(16) { gateway.receiveCall("/look/x") }
        assertEquals(6, gateway.tables.upstreams.values.sumOf { it.inFlight })
    }

    @Test
    fun `given a deployment that doesn't ask for it, then all requests are sent`() {
        gateway.applyChanges(StoreChange.ConfigSet(config()))
        repeat(6) { send(tokens = 400) }
        repeat(16) { gateway.receiveCall("/look/x") }
        assertEquals(6, inFlight())
        assertEquals(22, gateway.tables.upstreams.values.sumOf { it.inFlight })
    }

    private fun turnOn() {
        gateway.applyChanges(StoreChange.ConfigSet(config()))
        gateway.tick(
            GatewayInput.SettingsReloaded(GatewaySettings(features = persistentSetOf(Feature.PRESSURE))),
        )
    }

    private fun config(): ServingConfig {
        val config = gateway.config(version = 2)
        val services = config.services.mapValues { (_, service) ->
            service.copy(engine = service.engine?.copy(promptMemoryTokens = 1_000), maxConnections = 3)
        }
        val accounts = config.accounts.mapValues { (_, account) -> account.copy(tokensPerSecond = 0) }
        return config.copy(
            services = config.services.putAll(services),
            accounts = config.accounts.putAll(accounts),
        )
    }

    private fun send(tokens: Long): RequestNumber =
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", tokens = tokens))

    private fun complete(number: RequestNumber) {
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, AnswerFacts(200, notRun = false, load = null)))
        gateway.tick(GatewayInput.AnswerCompleted(number, 1))
    }

    private fun inFlight() = engines.sumOf { gateway.tables.upstreams.getValue(it).inFlight }

    private fun receiveDigest(engine: UpstreamId, usedTokens: Long, running: Int, queued: Int = 0) = gateway.tick(
        GatewayInput.EngineDigestReceived(
            EngineDigest(
                upstream = engine,
                incarnation = 1,
                number = ++lastDigestNumber,
                residentModels = persistentSetOf(GatewayFixture.MODEL),
                runningRequests = running,
                queuedRequests = queued,
                usedTokens = usedTokens,
            ).copy(resident = gateway.tables.upstreams.getValue(engine).digest?.resident ?: error("no digest")),
        ),
    )
}
