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
    fun `given a question that was never answered, then later requests ask again`() {
        entry.ownNothing()
        entry.arrive(entry.call())
        entry.after(1.seconds)
        assertEquals(ResultCode.LIMIT_UNAVAILABLE, entry.refusals().single().code)
        entry.arrive(entry.call())
        assertTrue(entry.effects.any { it is EntryEffect.ToEntry && it.message is EntryMessage.CreditAsk })
    }

    @Test
    fun `given a grant that nobody waits for, then its tokens go back`() {
        val home = InstanceName("entry-2")
        val account = EntryFixture.CONFIGURATION.accounts.keys.first()
        val stamp = GrantOrigin(Incarnation("entry-2.a"), entry.now)
        val grant = EntryMessage.CreditGrant(99, account, granted = 7, stamp, retryAfter = null)
        entry.tick(EntryInput.EntrySaid(home, grant))
        val sent = entry.effects.filterIsInstance<EntryEffect.ToEntry>().single()
        assertEquals(home, sent.to)
        assertEquals(EntryMessage.CreditSettle(account, 7, stamp), sent.message)
    }

    @Test
    fun `given a home that has not seen itself listed for long, then it grants nothing`() {
        entry.arrive(entry.call())
        entry.pause(3.seconds)
        entry.arrive(entry.call())
        assertTrue(entry.dispatches().isEmpty())
        assertTrue(entry.tables.homes.values.none { it is HomeRow.Owned })
    }
}
