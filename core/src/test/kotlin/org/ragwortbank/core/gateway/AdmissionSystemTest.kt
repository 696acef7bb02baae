package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.StoreChange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionSystemTest {
    private val gateway = GatewayFixture()

    @Test
    fun `given a known key, then the request is sent for the key's account with the account's priority`() {
        gateway.receiveCall("/book/x")
        val attempt = gateway.sentAttempts().single()
        assertEquals("club", attempt.account?.value)
        assertEquals(1, attempt.priority)
    }

    @Test
    fun `given an unknown or missing key, then the request is refused and nothing is sent`() {
        gateway.receiveCall("/book/x", gateway.call("/book/x", key = "other"))
        assertEquals(ResultCode.KEY_UNKNOWN, gateway.refusals().single().code)
        gateway.receiveCall("/book/x", gateway.call("/book/x").copy(key = null))
        assertEquals(ResultCode.KEY_MISSING, gateway.refusals().single().code)
        assertTrue(gateway.sentAttempts().isEmpty())
    }

    @Test
    fun `given a public route, then no key is required`() {
        gateway.receiveCall("/open/x", gateway.call("/open/x").copy(key = null))
        assertEquals(null, gateway.sentAttempts().single().account)
    }

    @Test
    fun `given a path without a route, then the request is refused as route unknown`() {
        gateway.receiveCall("/nowhere/x")
        assertEquals(ResultCode.ROUTE_UNKNOWN, gateway.refusals().single().code)
    }

    @Test
    fun `given an expired configuration lease, then keys are refused and public routes served`() {
        gateway.advance(4_900.milliseconds)
        gateway.receiveCall("/book/x")
        assertEquals(ResultCode.KEYS_UNCONFIRMED, gateway.refusals().single().code)
        assertEquals(Execution.NOT_RUN, gateway.refusals().single().execution)
        gateway.receiveCall("/open/x")
        assertEquals(1, gateway.sentAttempts().size)
    }

    @Test
    fun `given a new confirmation after the lease expired, then keys are accepted again`() {
        gateway.advance(20.seconds)
        gateway.confirmConfiguration()
        gateway.receiveCall("/book/x")
        assertEquals(1, gateway.sentAttempts().size)
    }

    // Guards against a withdrawn key that stays valid because the configuration that withdraws it can't be read.
    @Test
    fun `given a newest configuration that can't be read, then no read of the store confirms the one in force`() {
        gateway.applyChanges(StoreChange.ConfigUnreadable)
        assertKeysRefusedAfterLease()
        gateway.applyChanges(StoreChange.ConfigSet(gateway.config(version = 2)))
        gateway.receiveCall("/book/x")
        assertEquals(1, gateway.sentAttempts().size)
    }

    // Guards against keys that stay valid although the store no longer says which are.
    @Test
    fun `given a whole read without a configuration, then it doesn't confirm the one in force`() {
        val upstreams = gateway.storeContents().removeAll { it is StoreChange.ConfigSet }
        gateway.tick(GatewayInput.StoreRead(upstreams, gateway.now))
        assertKeysRefusedAfterLease()
    }

    // Guards against a configuration from an older copy of the store that prolongs the authority of keys.
    @Test
    fun `given an older configuration than the one in force, then it doesn't confirm that`() {
        gateway.applyChanges(StoreChange.ConfigSet(gateway.config(version = 3)))
        gateway.applyChanges(StoreChange.ConfigSet(gateway.config(version = 2)))
        assertKeysRefusedAfterLease()
    }

    private fun assertKeysRefusedAfterLease() {
        gateway.advance(4.seconds)
        gateway.confirmConfiguration()
        gateway.advance(1.seconds)
        gateway.receiveCall("/book/x")
        assertEquals(ResultCode.KEYS_UNCONFIRMED, gateway.refusals().single().code)
        gateway.receiveCall("/open/x")
        assertEquals(1, gateway.sentAttempts().size)
    }

    @Test
    fun `given a withdrawn key, then it is refused once the new configuration is applied`() {
        gateway.applyChanges(StoreChange.ConfigSet(gateway.config(version = 2, keys = emptyList())))
        gateway.receiveCall("/book/x")
        assertEquals(ResultCode.KEY_UNKNOWN, gateway.refusals().single().code)
    }

    @Test
    fun `given an older configuration that arrives late, then the newer one stays in force`() {
        gateway.applyChanges(StoreChange.ConfigSet(gateway.config(version = 3, keys = listOf("new"))))
        gateway.applyChanges(StoreChange.ConfigSet(gateway.config(version = 2)))
        assertEquals(3, gateway.tables.config?.version)
    }

    @Test
    fun `given an account over its burst, then the request is refused with a retry delay`() {
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1", tokens = 900))
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1", tokens = 900))
        val refusal = gateway.refusals().single()
        assertEquals(ResultCode.RATE_EXCEEDED, refusal.code)
        assertEquals(800.milliseconds, refusal.retryAfter)
    }

    // Guards against a configuration without its accounts that opens all routes to everyone.
    @Test
    fun `given a deployment with accounts and a configuration without any list of them, then keys are required`() {
        val settings = GatewaySettings(features = persistentSetOf(Feature.ACCOUNTS))
        gateway.tick(GatewayInput.SettingsReloaded(settings))
        val open = gateway.config(version = 2, keys = emptyList()).copy(requiresKeys = false)
        gateway.applyChanges(StoreChange.ConfigSet(open))
        gateway.receiveCall("/book/x")
        assertEquals(ResultCode.KEY_UNKNOWN, gateway.refusals().single().code)
        gateway.receiveCall("/book/x", gateway.call("/book/x").copy(key = null))
        assertEquals(ResultCode.KEY_MISSING, gateway.refusals().single().code)
        gateway.receiveCall("/open/x")
        assertEquals(1, gateway.sentAttempts().size)
    }

    @Test
    fun `given a deployment without accounts and a configuration without any list of them, then no key is required`() {
        val open = gateway.config(version = 2, keys = emptyList()).copy(requiresKeys = false)
        gateway.applyChanges(StoreChange.ConfigSet(open))
        gateway.receiveCall("/book/x", gateway.call("/book/x").copy(key = null))
        assertEquals(1, gateway.sentAttempts().size)
    }

    // Guards against an account without any limit, because its limits can't be read.
    @Test
    fun `given an account whose limits can't be read, then its requests are refused as not run`() {
        val config = gateway.config(version = 2)
        val accounts = config.accounts.mapValues { it.value.copy(tokensPerSecond = 0, hasReadableLimits = false) }
        gateway.applyChanges(StoreChange.ConfigSet(config.copy(accounts = accounts.toPersistentMap())))
        gateway.receiveCall("/book/x")
        assertEquals(ResultCode.RATE_EXCEEDED, gateway.refusals().single().code)
        assertEquals(Execution.NOT_RUN, gateway.refusals().single().execution)
    }

    @Test
    fun `given a restarted process, then its buckets start with a share of the burst only`() {
        val restarted = GatewayFixture(isFirstStart = false)
        restarted.receiveCall("/chat/x", restarted.call("/chat/x", adapter = "a1", tokens = 260))
        assertEquals(ResultCode.RATE_EXCEEDED, restarted.refusals().single().code)
        restarted.advance(500.milliseconds)
        restarted.receiveCall("/chat/x", restarted.call("/chat/x", adapter = "a1", tokens = 260))
        assertEquals(1, restarted.sentAttempts().size)
    }

    @Test
    fun `given a call before the first configuration, then it is deferred and served once that is read`() {
        val unconfigured = GatewayFixture(readsStore = false)
        unconfigured.receiveCall("/book/x")
        assertTrue(unconfigured.refusals().isEmpty())
        unconfigured.advance(400.milliseconds, GatewayInput.StoreRead(unconfigured.storeContents(), unconfigured.now))
        assertEquals(1, unconfigured.sentAttempts().size)
    }

    // Guards against an upstream that gets more time than its caller has left.
    @Test
    fun `given a call that was deferred, then its deadline counts from its arrival`() {
        val unconfigured = GatewayFixture(readsStore = false)
        val arrivedAt = unconfigured.now
        unconfigured.receiveCall("/book/x", unconfigured.call("/book/x").copy(callerTimeout = 1.seconds))
        unconfigured.advance(400.milliseconds, GatewayInput.StoreRead(unconfigured.storeContents(), unconfigured.now))
        assertEquals(arrivedAt + 1.seconds, unconfigured.sentAttempts().single().deadline)
    }

    @Test
    fun `given no configuration within the time limit, then a deferred call is refused as not run`() {
        val unconfigured = GatewayFixture(readsStore = false)
        unconfigured.receiveCall("/book/x")
        unconfigured.advance(1_100.milliseconds)
        assertEquals(ResultCode.NO_CONFIGURATION, unconfigured.refusals().single().code)
        assertEquals(Execution.NOT_RUN, unconfigured.refusals().single().execution)
    }

    // Guards against the last account that leaves and so opens all routes to everyone.
    @Test
    fun `given a configuration whose last account has left, then a route that is not public stays closed`() {
        val empty = gateway.config(version = 2).copy(accounts = persistentMapOf(), accountsByKey = persistentMapOf())
        gateway.applyChanges(StoreChange.ConfigSet(empty))
        gateway.receiveCall("/book/x")
        assertEquals(ResultCode.KEY_UNKNOWN, gateway.refusals().single().code)
        gateway.receiveCall("/book/x", gateway.call("/book/x").copy(key = null))
        assertEquals(ResultCode.KEY_MISSING, gateway.refusals().single().code)
    }

    @Test
    fun `given reloaded settings, then they apply at once`() {
        gateway.advance(2.seconds)
        val shorter = gateway.tables.settings.copy(configurationLease = 1.seconds)
        gateway.tick(GatewayInput.SettingsReloaded(shorter))
        gateway.receiveCall("/book/x")
        assertEquals(ResultCode.KEYS_UNCONFIRMED, gateway.refusals().single().code)
    }
}
