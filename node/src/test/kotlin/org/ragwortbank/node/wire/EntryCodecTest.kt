package org.ragwortbank.node.wire

import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Guards against amounts below zero from other entries, which would fill a bucket or grant what isn't there. */
class EntryCodecTest {
    private val origin = WireGrantOrigin("entry-1", 7)

    @Test
    fun `given a request for credit with an amount below zero, then it is no message`() {
        assertNull(WireMessage.CreditRequest(1, "club", listOf(20, -1_000)).toEntryMessage())
        assertNotNull(WireMessage.CreditRequest(1, "club", listOf(20, 0)).toEntryMessage())
    }

    @Test
    fun `given a grant below zero, then it is no message`() {
        assertNull(WireMessage.CreditGrant(1, "club", -1, origin).toEntryMessage())
        assertNotNull(WireMessage.CreditGrant(1, "club", 0, origin).toEntryMessage())
    }

    @Test
    fun `given credit that was overdrawn, then its return may be below zero`() {
        assertNotNull(WireMessage.CreditReturn("club", -5, origin).toEntryMessage())
    }

    @Test
    fun `given a bucket that is handed over with unspent credit below zero, then it is no message`() {
        assertNull(WireMessage.BucketHandover(3, "club", 100, -1).toEntryMessage())
        assertNotNull(WireMessage.BucketHandover(3, "club", -100, 0).toEntryMessage())
    }
}
