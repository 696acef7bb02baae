package org.ragwortbank.core.locality

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.Region
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.StoreChange
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class HomeRegionsTest {
    private val fleet = PlacedFleet()
    private val gateway = fleet.gateway
    private val north = Region("north")
    private val south = Region("south")
    private val anywhere: PersistentSet<Region>? = null

    init {
        setRegions(DOMAIN_A to north, DOMAIN_B to south)
    }

    @Test
    fun `given homes of a route, then its requests go to upstreams there only, however many there are`() {
        configure(route = persistentSetOf(south))
        assertEquals(setOf(DOMAIN_B), fleet.requestsInParallel(12))
    }

    @Test
    fun `given homes of a client account, then its requests go to upstreams there only`() {
        configure(account = persistentSetOf(north))
        assertEquals(setOf(DOMAIN_A), fleet.requestsInParallel(12))
    }

    @Test
    fun `given homes of both, then both bind`() {
        configure(route = persistentSetOf(north, south), account = persistentSetOf(south))
        assertEquals(setOf(DOMAIN_B), fleet.requestsInParallel(12))
        configure(route = persistentSetOf(north), account = persistentSetOf(south))
        assertRefusedAtOnce()
    }

    @Test
    fun `given a public route with homes, then they bind requests without an account`() {
        configure(route = persistentSetOf(south))
        val sent = (1..6).map { gateway.receiveCall("/open/x", gateway.call("/open/x").copy(key = null)) }
            .map { gateway.tables.requests[it]?.upstream?.value }
        assertEquals(setOf<String?>("desk-2"), sent.toSet())
    }

    @Test
    fun `given a retry and a resumable stream, then they stay in their homes`() {
        configure(route = persistentSetOf(south))
        listOf("/look/x", "/resume/x").forEach { path ->
            val number = gateway.receiveCall(path)
            assertEquals(listOf(DOMAIN_B), fleet.sentDomains())
            gateway.tick(GatewayInput.AttemptFailed(number, 1, AttemptFailure.ConnectionLost("reset")))
            gateway.advance(2.seconds)
            assertTrue(gateway.sentAttempts().isEmpty())
            assertFalse(number in gateway.tables.requests)
        }
    }

    @Test
    fun `given no home with an upstream, then requests are refused at once as not run`() {
        configure(route = persistentSetOf(Region("nowhere")))
        assertRefusedAtOnce()
    }

    // Guards against homes that can't be read and count as none.
    @Test
    fun `given homes of which none can be read, then requests are refused at once as not run`() {
        configure(route = persistentSetOf())
        assertRefusedAtOnce()
        configure(account = persistentSetOf())
        assertRefusedAtOnce()
    }

    @Test
    fun `given an upstream whose domain is in no known region, then it is outside, and used without homes`() {
        setRegions(DOMAIN_B to south)
        configure(route = persistentSetOf(south, north))
        assertEquals(setOf(DOMAIN_B), fleet.requestsInParallel(12))
        configure()
        assertEquals(PlacedFleet.EITHER, fleet.requestsInParallel(12))
    }

    @Test
    fun `given homes whose domain is emptied, then requests are refused and don't leave their homes`() {
        configure(route = persistentSetOf(south))
        fleet.evacuate(DOMAIN_B)
        assertRefusedAtOnce()
    }

    private fun assertRefusedAtOnce() {
        gateway.receiveCall("/book/x")
        val refusal = gateway.refusals().single()
        assertEquals(ResultCode.NO_UPSTREAM, refusal.code)
        assertEquals(Execution.NOT_RUN, refusal.execution)
        assertNotNull(refusal.retryAfter)
        assertContains(refusal.detail, "outside its home regions")
    }

    private fun setRegions(vararg regions: Pair<FailureDomain, Region>) =
        gateway.tick(GatewayInput.SettingsReloaded(GatewaySettings(regions = persistentMapOf(*regions))))

    private fun configure(route: PersistentSet<Region>? = anywhere, account: PersistentSet<Region>? = anywhere) {
        val config = gateway.config(version = checkNotNull(gateway.tables.config).version + 1)
        val routes = config.routes["host"].orEmpty().map { it.copy(homes = route) }.toPersistentList()
        val accounts = config.accounts.mapValues { it.value.copy(homes = account) }.toPersistentMap()
        val changed = config.copy(routes = persistentMapOf("host" to routes), accounts = accounts)
        gateway.tick(GatewayInput.StoreChanged(persistentListOf(StoreChange.ConfigSet(changed)), gateway.now))
    }
}
