package org.ragwortbank.core.storecopy

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gateway that starts while the store serves an older copy, and hears of a later configuration from another one. */
class StoreCopyConfigTest {
    private val gateway = GatewayFixture(isFirstStart = false, readsStore = false)
    private val peer = Endpoint("10.0.0.9", 7600)

    init {
        readStore()
    }

    // Guards against a key that is accepted although a configuration that the copy lacks has withdrawn it.
    @Test
    fun `given a later configuration of another gateway that the store lacks, then keys are refused as unconfirmed`() {
        nameConfig(version = 2)
        followStore()
        assertEquals(ResultCode.KEYS_UNCONFIRMED, refusalOf("/book/x"))
    }

    // Guards against a refusal of a route or key that was added by a configuration that the copy lacks.
    @Test
    fun `given a later configuration of another gateway, then unknown routes and keys are refused as not run yet`() {
        nameConfig(version = 2)
        followStore()
        assertEquals(ResultCode.NO_CONFIGURATION, refusalOf("/added/x"))
        assertEquals(Execution.NOT_RUN, gateway.refusals().single().execution)
        gateway.receiveCall("/book/x", gateway.call("/book/x", key = "added"))
        assertEquals(ResultCode.KEYS_UNCONFIRMED, gateway.refusals().single().code)
        gateway.receiveCall("/book/x", gateway.call("/book/x").copy(key = null))
        assertEquals(ResultCode.KEYS_UNCONFIRMED, gateway.refusals().single().code)
    }

    @Test
    fun `given a later configuration of another gateway, then public routes that are known are served`() {
        nameConfig(version = 2)
        followStore()
        gateway.receiveCall("/open/x")
        assertEquals(1, gateway.sentAttempts().size)
    }

    @Test
    fun `given a later configuration that is written again, then it is in force and confirmed`() {
        nameConfig(version = 2)
        followStore()
        followStore(StoreChange.ConfigSet(gateway.config(version = 2)))
        gateway.receiveCall("/book/x")
        assertEquals(1, gateway.sentAttempts().size)
        assertEquals(ResultCode.ROUTE_UNKNOWN, refusalOf("/added/x"))
    }

    // A configuration that another gateway has read first is on its way: the store had it after that.
    @Test
    fun `given a later configuration of another gateway, then an answer requested before changes nothing`() {
        val requestedAt = gateway.now
        gateway.advance(100.milliseconds)
        nameConfig(version = 2)
        gateway.tick(GatewayInput.StoreChanged(persistentListOf(), requestedAt, position))
        gateway.receiveCall("/book/x")
        assertEquals(1, gateway.sentAttempts().size)
        assertEquals(ResultCode.ROUTE_UNKNOWN, refusalOf("/added/x"))
    }

    @Test
    fun `given another gateway with the same or an earlier configuration, then nothing changes`() {
        nameConfig(version = 1)
        followStore()
        gateway.receiveCall("/book/x")
        assertEquals(1, gateway.sentAttempts().size)
    }

    @Test
    fun `given a later configuration of another gateway, then whole reads without it confirm nothing`() {
        nameConfig(version = 2)
        followStore()
        gateway.advance(1.seconds)
        readStore()
        assertEquals(ResultCode.KEYS_UNCONFIRMED, refusalOf("/book/x"))
    }

    private fun refusalOf(path: String): ResultCode {
        gateway.receiveCall(path)
        return gateway.refusals().single().code
    }

    private fun readStore() = gateway.tick(GatewayInput.StoreRead(gateway.storeContents(), gateway.now, position))

    /** The store answers a request made now. */
    private fun followStore(vararg changes: StoreChange) {
        gateway.advance(100.milliseconds)
        val list = changes.fold(persistentListOf<StoreChange>()) { list, change -> list.add(change) }
        gateway.tick(GatewayInput.StoreChanged(list, gateway.now, position))
    }

    private fun nameConfig(version: Long) =
        gateway.tick(
            GatewayInput.PeerDigestReceived(PeerDigest("entry-2", 1, number = version, configVersion = version), peer),
        )

    private companion object {
        val position = StorePosition(era = 2, revision = 20)
    }
}
