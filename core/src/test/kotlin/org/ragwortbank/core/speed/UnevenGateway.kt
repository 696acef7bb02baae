package org.ragwortbank.core.speed

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gateway with two engines whose digests a test sets; [second] is in the gateway's own failure domain. */
internal class UnevenGateway(statesSlowness: Boolean) {
    val first = UpstreamId("engine-1")
    val second = UpstreamId("engine-2")
    val gateway = GatewayFixture()
    private var number = 1_000L

    init {
        val registration = gateway.registration(second.value, GatewayFixture.ENGINES)
        val own = registration.copy(domain = FailureDomain("default"))
        gateway.applyChanges(
            StoreChange.ConfigSet(gateway.config(version = 2, rate = 1_000_000)),
            StoreChange.UpstreamRegistered(own),
        )
        gateway.advance(1.seconds)
        listOf(first, second).forEach { id ->
            digest(id)
            answer(id, if (statesSlowness) 1.0 else null)
        }
    }

    /** [change] alters the digest of an idle engine that has adapter `a1`. */
    fun digest(id: UpstreamId, change: (EngineDigest) -> EngineDigest = { it }) {
        val idle = EngineDigest(
            upstream = id,
            incarnation = 1,
            number = ++number,
            resident = persistentMapOf(AdapterKey(GatewayFixture.MODEL, "a1") to 1L),
            residentModels = persistentSetOf(GatewayFixture.MODEL),
            freeSlots = 40,
        )
        gateway.advance(100.milliseconds, GatewayInput.EngineDigestReceived(change(idle)))
    }

    /** The upstream that a request for [adapter] with 300 tokens of answer is sent to or waits for. */
    fun choose(adapter: String): UpstreamId? {
        val call = gateway.call("/chat/x", adapter, tokens = 400).copy(promptTokens = 100)
        val number = gateway.receiveCall("/chat/x", call)
        val row = gateway.tables.requests.getValue(number)
        return row.upstream ?: row.loadingUpstream
    }

    /** Has a request answered by [id], which states [slowness]. */
    private fun answer(id: UpstreamId, slowness: Double?) {
        val other = if (id == first) second else first
        digest(other) { it.copy(runningRequests = 4) }
        val call = gateway.receiveCall("/chat/x", gateway.call("/chat/x", "a1"))
        check(gateway.sentAttempts().single().upstream == id)
        val facts = AnswerFacts(status = 200, notRun = false, load = ReportedLoad(0, 0, slowness))
        gateway.tick(GatewayInput.AnswerHeadReceived(call, 1, facts), GatewayInput.AnswerCompleted(call, 1))
        digest(other)
    }
}
