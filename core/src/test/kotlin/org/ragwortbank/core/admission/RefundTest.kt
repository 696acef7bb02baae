package org.ragwortbank.core.admission

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.FleetBucket
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.refundTokens
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * A request that is refused after a long wait returns its tokens, unless the bucket has been full meanwhile: then they
 * have been refilled already, and a window would hold them twice.
 */
class RefundTest {
    private val start = Timestamp(0) + 100.seconds
    private val account = AccountId("hot")
    private val full = FleetBucket(rate = 1_000, burst = 1_000, level = 1_000.0, updatedAt = start)

    @Test
    fun `given a bucket that has been full since, when a request is refused, then its tokens aren't returned again`() {
        val filledAgain = full.refill(start).consume(1_000).refill(start + 1.seconds)
        val later = filledAgain.consume(1_000).refill(start + 1.5.seconds)
        assertEquals(500.0, levelAfterRefund(later))
    }

    @Test
    fun `given a bucket that hasn't been full since, when a request is refused, then its tokens are returned`() {
        val later = full.refill(start).consume(600).consume(400).refill(start + 0.2.seconds)
        assertEquals(800.0, levelAfterRefund(later, tokens = 600))
    }

    @Test
    fun `given settings that don't name the feature, then the tokens of a refused request are returned`() {
        val later = full.refill(start).consume(600).refill(start + 1.seconds).consume(1_000)
        assertEquals(600.0, levelAfterRefund(later, tokens = 600, features = persistentSetOf()))
    }

    private fun FleetBucket.refill(now: Timestamp) = refill(now, emptyMap(), gateways = 1)

    private fun levelAfterRefund(
        bucket: FleetBucket,
        tokens: Long = 1_000,
        features: PersistentSet<Feature> = persistentSetOf(Feature.PRESSURE),
    ): Double {
        val settings = GatewaySettings(features = features)
        val buckets = persistentMapOf(account to bucket)
        val tables = GatewayTables(GatewayIdentity("g", 1), settings, startedAt = start, buckets = buckets)
        return tables.refundTokens(row(tokens)).buckets.getValue(account).level
    }

    private fun row(tokens: Long): RequestRow {
        val gateway = GatewayFixture()
        val number = gateway.receiveCall("/chat/x")
        val row = gateway.tables.requests.getValue(number)
        return row.copy(account = account, tokens = tokens, arrivedAt = start)
    }
}
