package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.Feature
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

/** A gateway whose account asks for more than its rate, and whose engines lack the adapters that are asked for. */
class PressureAdmissionTest {
    private val fixture = GatewayFixture()

    @Test
    fun `given callers that are refused at once, then each is told to return after those before it`() {
        enable(persistentSetOf(Feature.PRESSURE))
        val waits = refusedWaits(count = 5)
        assertTrue(waits.zipWithNext().all { (earlier, later) -> later > earlier }, "$waits")
    }

    @Test
    fun `given settings without the feature, then callers that are refused at once are told the same time`() {
        assertEquals(1, refusedWaits(count = 5).distinct().size)
    }

    @Test
    fun `given the feature, then placers learn the rank of the most urgent request for an adapter`() {
        enable(persistentSetOf(Feature.PRESSURE))
        assertEquals(listOf(1), requestedRanks())
    }

    @Test
    fun `given settings without the feature, then placers learn no rank`() {
        assertEquals(listOf(null), requestedRanks())
    }

    private fun enable(features: PersistentSet<Feature>) =
        fixture.tick(GatewayInput.SettingsReloaded(GatewaySettings(features = features)))

    /** The times after which callers are told to return, once the account's burst is used up. */
    private fun refusedWaits(count: Int): List<Duration> {
        fixture.receiveCall("/book/x", fixture.call("/book/x", tokens = 1_000))
        return (1..count).mapNotNull {
            fixture.receiveCall("/book/x", fixture.call("/book/x", tokens = 500))
            fixture.refusals().single { it.code == ResultCode.RATE_EXCEEDED }.retryAfter
        }
    }

    private fun requestedRanks(): List<Int?> {
        fixture.receiveCall("/chat/x", fixture.call("/chat/x", adapter = "a9"))
        return fixture.effects
            .filterIsInstance<GatewayEffect.SendDemandDigest>()
            .flatMap { it.digest.loadRequests }
            .map { it.rank }
    }
}
