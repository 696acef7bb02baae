package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.GrantOrigin
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.result.ResultCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class CreditSystemsTest {
    private val entry = EntryFixture()

    @Test
    fun `given a credit request without an answer, then a later request sends another one`() {
        entry.giveOwnershipToOtherEntry()
        entry.receiveCall(entry.call())
        entry.advance(1.seconds)
        assertEquals(ResultCode.LIMIT_UNAVAILABLE, entry.refusals().single().code)
        entry.receiveCall(entry.call())
        assertTrue(entry.effects.any { it is EntryEffect.SendToEntry && it.message is EntryMessage.CreditRequest })
    }

    @Test
    fun `given a grant without a pending credit request, then its tokens are returned`() {
        val owner = InstanceName("entry-2")
        val account = EntryFixture.CONFIGURATION.accounts.keys.first()
        val grantOrigin = GrantOrigin(Incarnation("entry-2.a"), entry.now)
        val grant = EntryMessage.CreditGrant(99, account, grantedTokens = 7, grantOrigin, retryAfter = null)
        entry.tick(EntryInput.EntryMessageReceived(owner, grant))
        val sent = entry.effects.filterIsInstance<EntryEffect.SendToEntry>().single()
        assertEquals(owner, sent.to)
        assertEquals(EntryMessage.CreditReturn(account, 7, grantOrigin), sent.message)
    }

    @Test
    fun `given a bucket owner with an expired membership lease, then it grants nothing`() {
        entry.receiveCall(entry.call())
        entry.advanceWithoutPlatform(3.seconds)
        entry.receiveCall(entry.call())
        assertTrue(entry.dispatches().isEmpty())
        assertTrue(entry.tables.buckets.values.none { it is BucketRow.Owned })
    }
}
