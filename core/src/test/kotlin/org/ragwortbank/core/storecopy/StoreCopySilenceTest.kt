package org.ragwortbank.core.storecopy

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Gateways that are cut off, or hear of a version that is never written. */
class StoreCopySilenceTest {
    // Guards against live upstreams that are dropped, because the store went away again after the first read of a copy.
    @Test
    fun `given a copy without upstreams and a store that is silent after its first read, then they stay in use`() {
        val gateway = GatewayFixture()
        val all = gateway.storeContents()
        gateway.tick(GatewayInput.StoreRead(all, gateway.now, StorePosition(1, 1)))
        val known = gateway.tables.upstreams.keys
        val lacking = all.filterNot { it is StoreChange.UpstreamRegistered }.toPersistentList()
        gateway.tick(GatewayInput.StoreRead(lacking, gateway.now, StorePosition(2, 1)))

        gateway.advance(2_500.milliseconds)

        assertEquals(known, gateway.tables.upstreams.keys)
    }

    // Guards against a gateway that refuses all keys for ever by the word of one that is gone.
    @Test
    fun `given a peer that named a version once and is gone, and a store that confirms another, then keys run again`() {
        val gateway = GatewayFixture()
        val digest = PeerDigest("entry-2", 1, number = 1, configVersion = 1_000_000)
        gateway.tick(GatewayInput.PeerDigestReceived(digest, Endpoint("10.0.0.9", 7600)))
        repeat(600) {
            gateway.advance(1.seconds)
            gateway.tick(GatewayInput.StoreChanged(persistentListOf(), gateway.now, StorePosition(0, 1)))
        }

        gateway.receiveCall("/book/x")

        assertEquals(emptyList(), gateway.refusals().map { it.code })
    }
}
