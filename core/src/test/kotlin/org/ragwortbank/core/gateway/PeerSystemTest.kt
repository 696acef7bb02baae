package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.DigestStamp
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.StoreChange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class PeerSystemTest {
    private val gateway = GatewayFixture()
    private val peer = Endpoint("10.0.0.9", 7600)

    @Test
    fun `given a peer that confirms the configuration after a digest of this gateway, then the lease is renewed`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer))
        gateway.advance(4.seconds)
        val digest = sentDigest()
        gateway.advance(1.seconds, GatewayInput.PeerDigestReceived(confirmation(digest.number), peer))
        assertTrue(gateway.tables.hasConfigurationLease(gateway.now))
    }

    @Test
    fun `given a peer's digest that may have been buffered during a suspension, then it confirms nothing`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer))
        val digest = sentDigest()
        gateway.advance(6.seconds, GatewayInput.PeerDigestReceived(confirmation(digest.number), peer))
        assertFalse(gateway.tables.hasConfigurationLease(gateway.now))
    }

    @Test
    fun `given a peer with another configuration, then it confirms nothing`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer))
        gateway.advance(4.seconds)
        val digest = sentDigest()
        val otherVersion = confirmation(digest.number).copy(configVersion = 7)
        gateway.advance(1.seconds, GatewayInput.PeerDigestReceived(otherVersion, peer))
        assertFalse(gateway.tables.hasConfigurationLease(gateway.now))
    }

    private fun sentDigest(): PeerDigest {
        gateway.advance(gateway.tables.settings.peerDigestInterval * 5)
        return gateway.effects.filterIsInstance<GatewayEffect.SendPeerDigest>().last().digest
    }

    private fun confirmation(receivedNumber: Long) = PeerDigest(
        sender = "entry-2",
        incarnation = 1,
        number = 1,
        configVersion = 1,
        confirmedMillisAgo = 200,
        lastReceived = persistentMapOf("entry-1" to DigestStamp(1, receivedNumber)),
    )

    @Test
    fun `given admitted tokens, then their total is sent to the other gateways`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer))
        gateway.receiveCall("/book/x")
        assertEquals(10, sentDigest().admittedTokens.values.single())
    }

    @Test
    fun `given an unlisted gateway, when it reports again, then its total counts once and it still gets digests`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer))
        gateway.tick(GatewayInput.PeerDigestReceived(consumption(number = 1, tokens = 900), peer))
        assertEquals(100.0, bucketLevel())
        gateway.applyChanges(StoreChange.PeerRemoved("entry-2"))
        gateway.tick(GatewayInput.PeerDigestReceived(consumption(number = 2, tokens = 900), peer))
        assertEquals(100.0, bucketLevel())
        assertEquals("entry-1", sentDigest().sender)
    }

    @Test
    fun `given a gateway that started earlier, when its first digest arrives, then its earlier total does not count`() {
        val earlierConsumption = consumption(number = 7, tokens = 900).copy(incarnation = 0)
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer))
        gateway.advance(10.seconds, GatewayInput.PeerDigestReceived(earlierConsumption, peer))
        assertEquals(1_000.0, bucketLevel())
    }

    private fun bucketLevel(): Double = gateway.tables.buckets.values.single().level

    private fun consumption(number: Long, tokens: Long) =
        PeerDigest("entry-2", incarnation = 2, number, admittedTokens = persistentMapOf(AccountId("club") to tokens))
}
