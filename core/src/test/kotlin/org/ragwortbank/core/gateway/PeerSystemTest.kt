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
import kotlin.time.Duration.Companion.milliseconds
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

    @Test
    fun `given a newest configuration that can't be read, then a peer that doesn't know it confirms nothing`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer), StoreChange.ConfigUnreadable)
        gateway.advance(4.seconds)
        val digest = sentDigest()
        gateway.advance(1.seconds, GatewayInput.PeerDigestReceived(confirmation(digest.number), peer))
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

    // Guards against a restarted gateway whose digests, and so its use of all accounts, are ignored for good.
    @Test
    fun `given a gateway that restarts with its clock set back, then its totals count from zero`() {
        val before = consumption(number = 9, tokens = 100).copy(incarnation = 5_000)
        val after = consumption(number = 1, tokens = 50).copy(incarnation = 3_000)
        gateway.tick(GatewayInput.PeerDigestReceived(before, peer))
        gateway.advance(10.seconds)
        gateway.tick(GatewayInput.PeerDigestReceived(after, peer))
        gateway.tick(GatewayInput.PeerDigestReceived(after.copy(number = 2), peer))
        assertEquals(3_000, gateway.tables.peers.getValue("entry-2").incarnation)
        assertEquals(50, gateway.tables.buckets.values.single().peers.getValue("entry-2").admittedTotal)
        assertEquals(950.0, bucketLevel())
    }

    @Test
    fun `given a total that changed, then the next digests repeat it and later ones leave it out until the full one`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer))
        sentDigests(16)
        gateway.confirmConfiguration()
        gateway.receiveCall("/book/x")
        val named = sentDigests(16).map { it.admittedTokens.isNotEmpty() }
        assertTrue(named.take(PeerDigest.REPEATS).all { it }, "digests that name the account: $named")
        assertTrue(named.count { it } <= PeerDigest.REPEATS + 3, "digests that name the account: $named")
        assertTrue(named.drop(PeerDigest.REPEATS).any { it }, "digests that name the account: $named")
    }

    @Test
    fun `given a gateway that joins, then the next digest names all accounts`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer))
        gateway.receiveCall("/book/x")
        while (sentDigest().admittedTokens.isNotEmpty()) Unit
        gateway.applyChanges(StoreChange.PeerRegistered("entry-3", Endpoint("10.0.0.8", 7600)))
        assertEquals(1, sentDigests(1).single().admittedTokens.size)
    }

    @Test
    fun `given a digest after a gap that doesn't name an account, then its total counts only when it is named again`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer))
        gateway.tick(GatewayInput.PeerDigestReceived(consumption(number = 1, tokens = 100), peer))
        gateway.advance(3.seconds)
        assertTrue(tokensChargedToPeer() > 0)
        val unnamed = consumption(number = 9, tokens = 0).copy(admittedTokens = persistentMapOf())
        gateway.tick(GatewayInput.PeerDigestReceived(unnamed, peer))
        assertTrue(tokensChargedToPeer() > 0)
        gateway.tick(GatewayInput.PeerDigestReceived(consumption(number = 10, tokens = 100), peer))
        assertEquals(0.0, tokensChargedToPeer())
    }

    private fun tokensChargedToPeer(): Double =
        gateway.tables.buckets.values.single().peers.getValue("entry-2").charged

    @Test
    fun `given peers with a recent and with an old confirmation, then only the latter's digests are acknowledged`() {
        gateway.applyChanges(StoreChange.PeerRegistered("entry-2", peer), StoreChange.PeerRegistered("entry-3", peer))
        val confirmed = consumption(number = 4, tokens = 0).copy(confirmedMillisAgo = 900)
        val unconfirmed = consumption(number = 5, tokens = 0).copy(sender = "entry-3", confirmedMillisAgo = 3_000)
        gateway.tick(
            GatewayInput.PeerDigestReceived(confirmed, peer),
            GatewayInput.PeerDigestReceived(unconfirmed, peer),
        )
        assertEquals(mapOf("entry-3" to DigestStamp(2, 5)), sentDigest().lastReceived.toMap())
    }

    @Test
    fun `given many gateways and an old confirmation, then digests are sent as often as in a small fleet`() {
        val others = (2..80).map { StoreChange.PeerRegistered("entry-$it", Endpoint("10.0.1.$it", 7600)) }
        gateway.applyChanges(*others.toTypedArray())
        gateway.advance(3.seconds)
        val before = gateway.tables.peerDigestNumber
        gateway.advance(2.seconds)
        assertTrue(gateway.tables.peerDigestNumber - before >= 3, "digests in 2 s without the store")
    }

    @Test
    fun `given many gateways, one of which has an old confirmation, then it is acknowledged soon`() {
        val others = (2..80).map { StoreChange.PeerRegistered("entry-$it", Endpoint("10.0.1.$it", 7600)) }
        gateway.applyChanges(*others.toTypedArray())
        sentDigests(1)
        gateway.confirmConfiguration()
        val needy = consumption(number = 1, tokens = 0).copy(confirmedMillisAgo = 3_000)
        gateway.tick(GatewayInput.PeerDigestReceived(needy, peer))
        gateway.advance(700.milliseconds)
        val digests = gateway.effects.filterIsInstance<GatewayEffect.SendPeerDigest>().map { it.digest }
        assertTrue(digests.any { "entry-2" in it.lastReceived }, "digests: $digests")
    }

    private fun sentDigests(count: Int): List<PeerDigest> {
        val first = gateway.tables.peerDigestNumber
        var digests = emptyList<PeerDigest>()
        while (digests.size < count) {
            gateway.advance(50.milliseconds)
            digests = digests + gateway.effects.filterIsInstance<GatewayEffect.SendPeerDigest>().map { it.digest }
        }
        return digests.filter { it.number > first }.take(count)
    }

    private fun bucketLevel(): Double = gateway.tables.buckets.values.single().level

    private fun consumption(number: Long, tokens: Long) =
        PeerDigest("entry-2", incarnation = 2, number, admittedTokens = persistentMapOf(AccountId("club") to tokens))
}
