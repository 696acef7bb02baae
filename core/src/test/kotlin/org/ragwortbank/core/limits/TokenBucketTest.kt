package org.ragwortbank.core.limits

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TokenBucketTest {
    private val account = Account(AccountId("club"), rate = 100, burst = 50)
    private val start = Timestamp(0)

    @Test
    fun `a full bucket allows its burst and no more`() {
        val bucket = TokenBucket.of(account, 50, start).refill(start + 10.seconds)
        assertTrue(bucket.canTake(50))
        assertFalse(bucket.canTake(51))
    }

    @Test
    fun `an empty bucket refills at its rate`() {
        val bucket = TokenBucket.of(account, 0, start).refill(start + 200.milliseconds)
        assertEquals(20, bucket.level)
    }

    @Test
    fun `issued tokens lower the cap`() {
        val bucket = TokenBucket.of(account, 0, start).refill(start + 10.seconds, issuedTokens = 30)
        assertEquals(20, bucket.level)
    }

    @Test
    fun `the time until tokens are available is the refill time of the missing tokens`() {
        assertEquals(300.milliseconds, TokenBucket.of(account, 0, start).timeUntilAvailable(30))
    }

    @Test
    fun `a refill at an earlier time adds nothing`() {
        val bucket = TokenBucket.of(account, 0, start + 1.seconds)
        assertEquals(0, bucket.refill(start).level)
    }

    @Test
    fun `returned tokens are credited only up to the headroom since the grant expired`() {
        val granted = OwnedBucket(TokenBucket.of(account, 50, start)).issue(30, start, 100.milliseconds)
        val expiry = start + 100.milliseconds
        val returnedAtExpiry = granted.refill(account, expiry).returnCredit(30, expiry)
        assertEquals(50, returnedAtExpiry.bucket.level)
        val refilled = granted.refill(account, start + 1.seconds)
        val emptied = refilled.issue(50, start + 1.seconds, 100.milliseconds).refill(account, start + 1.seconds)
        assertEquals(0, emptied.returnCredit(30, expiry).bucket.level)
    }

    @Property(seed = "20261204", tries = 300)
    fun `grants that are spent at the end of their lifetime never exceed rate and burst in any window`(
        @ForAll("pauses") pauses: List<Int>,
        @ForAll("needs") need: Int,
    ) {
        val lifetime = 500.milliseconds
        val spendings = grantAndSpend(pauses, need.toLong(), lifetime)
        assertEquals(null, WindowCheck(account).firstViolation(spendings))
    }

    @Provide
    fun pauses(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 400).list().ofMaxSize(80)

    @Provide
    fun needs(): Arbitrary<Int> = Arbitraries.integers().between(1, 50)

    /** Grants [need] after each pause if it is available, and spends grants in turn at once and when they expire. */
    private fun grantAndSpend(pauses: List<Int>, need: Long, lifetime: Duration): List<Spending> {
        var owned = OwnedBucket(TokenBucket.of(account, account.burst, start))
        var now = start
        return pauses.mapIndexedNotNull { index, pause ->
            now += pause.milliseconds
            owned = owned.refill(account, now)
            val granted = owned.bucket.canTake(need)
            if (granted) owned = owned.issue(need, now, lifetime)
            val spentAt = if (index % 2 == 0) now else now + lifetime
            if (granted) Spending(spentAt, need) else null
        }
    }
}
