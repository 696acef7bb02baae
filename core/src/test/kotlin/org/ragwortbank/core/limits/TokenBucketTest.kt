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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TokenBucketTest {
    private val account = Account(AccountId("club"), rate = 100, burst = 50)
    private val start = Timestamp(0)

    @Test
    fun `a full bucket holds its burst and no more`() {
        val bucket = TokenBucket.of(account, 50, start).refill(start + 10.seconds)
        assertTrue(bucket.canTake(50))
        assertFalse(bucket.canTake(51))
    }

    @Test
    fun `an empty bucket fills at its rate`() {
        val bucket = TokenBucket.of(account, 0, start).refill(start + 200.milliseconds)
        assertEquals(20, bucket.level)
    }

    @Test
    fun `what is still spendable elsewhere lowers the cap`() {
        val bucket = TokenBucket.of(account, 0, start).refill(start + 10.seconds, issuedTokens = 30)
        assertEquals(20, bucket.level)
    }

    @Test
    fun `the wait is the time that the missing tokens take`() {
        assertEquals(300.milliseconds, TokenBucket.of(account, 0, start).timeUntilAvailable(30))
    }

    @Test
    fun `time that runs backwards adds nothing`() {
        val bucket = TokenBucket.of(account, 0, start + 1.seconds)
        assertEquals(0, bucket.refill(start).level)
    }

    @Test
    fun `tokens that come back count only as far as the bucket would have held them all along`() {
        val granted = OwnedBucket(TokenBucket.of(account, 50, start)).issue(30, start, 100.milliseconds)
        val expiry = start + 100.milliseconds
        val soon = granted.refill(account, expiry).returnCredit(30, expiry)
        assertEquals(50, soon.bucket.level)
        val full = granted.refill(account, start + 1.seconds)
        val spent = full.issue(50, start + 1.seconds, 100.milliseconds).refill(account, start + 1.seconds)
        assertEquals(0, spent.returnCredit(30, expiry).bucket.level)
    }

    @Property(seed = "20261204", tries = 300)
    fun `grants that may be spent late never exceed rate and burst in any window`(
        @ForAll("pauses") pauses: List<Int>,
        @ForAll("needs") need: Int,
    ) {
        val lifetime = 500.milliseconds
        val spendings = spendLate(pauses, need.toLong(), lifetime)
        assertEquals(null, WindowCheck(account).firstViolation(spendings))
    }

    @Provide
    fun pauses(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 400).list().ofMaxSize(80)

    @Provide
    fun needs(): Arbitrary<Int> = Arbitraries.integers().between(1, 50)

    /** Grants whatever fits after each pause, and spends each grant at the last moment or at once, in turn. */
    private fun spendLate(pauses: List<Int>, need: Long, lifetime: kotlin.time.Duration): List<Spending> {
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
