package org.ragwortbank.standins.prepared

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.ragwortbank.clients.http.HttpReply.Answered
import org.ragwortbank.standins.fleet.BlockingHttp
import org.ragwortbank.standins.fleet.Polling
import org.ragwortbank.standins.fleet.testLauncher
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Runs a gateway and a placer as processes before an engine and a plain service in zone A and another in zone B. */
class PlacesTest {
    private val launcher = testLauncher("ragwortbank-places")
    private val fleet = PreparedFleet(launcher, SETTINGS)
    private val store = fleet.deployment.store
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val inZoneA = fleet.deployment.plainService
    private val inZoneB = WorkerStandIn(group, "i-desk-b", model = null)

    init {
        val registration = WorkerState().toRegistrationJson("desk", inZoneB.start(), "zone-b")
        store.put("servers/i-desk-b", registration)
        assertTrue(fleet.awaitReady(), "the gateway did not become ready in time")
        awaitStatus { "\"upstreams\":3" in it }
    }

    @AfterTest
    fun `each process exits with code 0 when it is terminated`() {
        assertEquals(listOf<Int?>(0, 0), fleet.stop())
        group.shutdownGracefully()
    }

    // Guards against requests to a zone that the operators have emptied.
    @Test
    fun `given a zone that is emptied and taken back, then nothing goes there from the reading on until then`() {
        empty("zone-a")
        assertEquals(setOf("b"), zonesThatRun("first"))
        store.remove("op/evacuate/zone-a")
        empty("zone-b")
        awaitStatus { evacuated() == listOf("zone-b") }
        assertEquals(setOf("a"), zonesThatRun("second"))
    }

    @Test
    fun `given a value that can't be read and keys that name no zone, then the zone that a key names is emptied`() {
        store.putEncoded("op/evacuate/zone-a", "!")
        store.put("op/evacuate/", "{}")
        store.put("op/evacuate/elsewhere", "[")
        val unreadable = "value can't be read"
        val expected = setOf("zone-a ($unreadable)", "elsewhere (no listed upstream, $unreadable)")
        awaitStatus { evacuated().toSet() == expected }
        assertEquals(setOf("b"), zonesThatRun("odd"))
    }

    @Test
    fun `given an evacuation, when the store loses its history and is down, then it holds, and is lifted by a read`() {
        empty("zone-a")
        store.setUnavailable(true)
        assertEquals(setOf("b"), zonesThatRun("cut"))
        store.remove("op/evacuate/zone-a")
        store.compactHistory()
        store.setUnavailable(false)
        assertTrue(Polling.until { evacuated().isEmpty() })
        empty("zone-b")
        assertEquals(setOf("a"), zonesThatRun("back"))
    }

    @Test
    fun `given a gateway that starts while a zone is empty, then its first request goes elsewhere`() {
        empty("zone-a")
        val settings = launcher.directory.resolve("gateway.toml")
        val later = launcher.startInstance("gateway-2", "gateway", settings)
        val caller = PreparedCaller(later.address("http"))
        assertTrue(Polling.until { caller.callIdempotent("started").hasSucceeded() })
        assertEquals(0, inZoneA.executedRequestIds.count { it == "started" })
        later.terminate()
        assertEquals(0, later.awaitExit(STOP_TIMEOUT))
    }

    @Test
    fun `given that all zones are emptied, then requests are refused at once and processes go on`() {
        empty("zone-a")
        empty("zone-b")
        val refused = fleet.caller.callNonIdempotent("all") as Answered
        assertEquals(503, refused.status)
        assertNotNull(refused.head.header("Retry-After"))
        assertContains(refused.text, "not run")
        store.remove("op/evacuate/zone-b")
        assertTrue(Polling.until { fleet.caller.callNonIdempotent("again").hasSucceeded() })
        assertTrue(listOf(fleet.gateway, fleet.placer).all { it.isAlive })
    }

    // Guards against loads at engines whose zone is emptied.
    @Test
    fun `given an engine in an emptied zone, then its placer sends it no command until the zone is taken back`() {
        assertTrue(fleet.caller.generate("chat-1", "a1").hasSucceeded())
        empty("zone-a")
        val commands = fleet.deployment.engine.currentState.sequence
        assertEquals(503, (fleet.caller.generate("chat-2", "a2") as Answered).status)
        Thread.sleep(IDLE_MILLIS)
        assertEquals(commands, fleet.deployment.engine.currentState.sequence)
        store.remove("op/evacuate/zone-a")
        assertTrue(Polling.until { fleet.caller.generate("chat-3", "a2").hasSucceeded() })
    }

    // Guards against requests that leave the regions to which their route or client account is bound.
    @Test
    fun `given homes of routes and accounts, then requests run there only and are refused without an upstream there`() {
        configure(2, route = """["south"]""")
        assertEquals(setOf("b"), zonesThatRun("route"))
        configure(3, account = """["north"]""")
        assertEquals(setOf("a"), zonesThatRun("account"))
        configure(4, route = """["south"]""", account = """["north"]""")
        assertEquals(503, (fleet.caller.callIdempotent("neither") as Answered).status)
        configure(5, route = "7")
        assertEquals(503, (fleet.caller.callIdempotent("odd route") as Answered).status)
        configure(6, account = """{"north":true}""")
        assertEquals(503, (fleet.caller.callIdempotent("odd account") as Answered).status)
        configure(7)
        assertTrue(fleet.caller.callIdempotent("anywhere").hasSucceeded())
    }

    private fun empty(zone: String) {
        store.put("op/evacuate/$zone", "{}")
        awaitStatus { zone in evacuated() }
    }

    private fun configure(version: Long, route: String = "[]", account: String = "[]") {
        val config = PreparedDeployment.configJson(version)
            .replace(""""prefix":"/look/"""", """"allowed_regions":$route,"prefix":"/look/"""")
            .replace(""""name":"club"""", """"name":"club","allowed_regions":$account""")
        store.put("op/config", config)
        awaitStatus { "\"configVersion\":$version," in it }
    }

    private fun awaitStatus(condition: (String) -> Boolean) =
        assertTrue(Polling.until { condition(statusText()) }, statusText())

    private fun statusText(): String = (BlockingHttp.get(fleet.gateway.address("admin"), "/status") as Answered).text

    /** The zones whose upstreams run several requests, all of which must succeed. */
    private fun zonesThatRun(prefix: String): Set<String> {
        val ids = (1..REQUESTS).map { "$prefix-$it" }
        ids.forEach { assertTrue(fleet.caller.callIdempotent(it).hasSucceeded(), it) }
        val zones = mapOf("a" to inZoneA, "b" to inZoneB)
        return zones.filterValues { zone -> zone.executedRequestIds.any { it in ids } }.keys
    }

    private fun evacuated(): List<String> {
        val list = Regex("\"evacuated\":\\[([^]]*)]").find(statusText())?.groupValues?.get(1).orEmpty()
        return Regex("\"([^\"]*)\"").findAll(list).map { it.groupValues[1] }.toList()
    }

    private companion object {
        /** Time in which a placer that sends commands would have sent one. */
        const val IDLE_MILLIS = 1_000L
        const val SETTINGS = "[features]\nplaces = true\n[regions]\nzone-a = \"north\"\nzone-b = \"south\"\n"
        const val REQUESTS = 8
        val STOP_TIMEOUT = 12.seconds
    }
}
