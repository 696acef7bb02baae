package org.ragwortbank.standins.prepared

import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.standins.fleet.BlockingHttp
import org.ragwortbank.standins.fleet.Polling
import org.ragwortbank.standins.fleet.testLauncher
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs a gateway and a placer as separate processes against stand-ins for the prepared platform. */
class PreparedPlatformTest {
    private val launcher = testLauncher("ragwortbank-prepared")
    private val fleet = PreparedFleet(launcher)

    init {
        assertTrue(fleet.awaitReady(), "the gateway did not become ready in time")
    }

    @AfterTest
    fun `each process exits with code 0 when it is terminated`() = assertEquals(listOf<Int?>(0, 0), fleet.stop())

    @Test
    fun `given more non-resident adapters than slots, when each is requested, then each response stream is complete`() {
        repeat(6) { index ->
            val response = fleet.caller.generate("chat-$index", "a$index") as HttpReply.Answered
            assertEquals(200, response.status)
            assertEquals((1..6).joinToString("") { "id: $it\ndata: piece $it\n\n" }, response.text)
        }
        assertTrue(fleet.deployment.engine.currentState.adapters.size <= 4)
    }

    @Test
    fun `given registrations that can't be decoded, when requests arrive, then the other instances serve them`() {
        val store = fleet.deployment.store
        store.put("servers/i-torn", """{"service":"desk","address":"127.0.0.1:9","sta""")
        store.put("servers/i-foreign", """{"service":"desk","address":7,"state":"ready"}""")
        store.put("servers/i-unknown", """{"service":"desk","address":"127.0.0.1:9","state":"resting"}""")
        store.putEncoded("servers/i-bytes", "!")
        store.put("op/config", "no configuration")
        Thread.sleep(CONFIG_BOUND_MILLIS)
        val statuses = (1..8).map { (fleet.caller.callIdempotent("look-$it") as HttpReply.Answered).status }
        assertEquals(List(8) { 200 }, statuses)
        assertEquals((1..8).map { "look-$it" }, requestIdsAtPlainService("look"))
    }

    @Test
    fun `given a revoked API key, when requests arrive, then the old key is refused and the new one accepted`() {
        fleet.deployment.store.put("op/config", PreparedDeployment.configJson(version = 5, apiKey = "other"))
        Thread.sleep(CONFIG_BOUND_MILLIS)
        assertEquals(401, (fleet.caller.callNonIdempotent("book-1") as HttpReply.Answered).status)
        assertEquals(200, (fleet.caller.callNonIdempotent("book-2", apiKey = "other") as HttpReply.Answered).status)
        assertEquals(listOf("book-2"), requestIdsAtPlainService("book"))
    }

    @Test
    fun `given a new configuration, when the store compacts its history, then the configuration applies in time`() {
        fleet.deployment.store.put("op/config", PreparedDeployment.configJson(version = 6, apiKey = "sixth"))
        fleet.deployment.store.compactHistory()
        Thread.sleep(CONFIG_BOUND_MILLIS)
        assertEquals(200, (fleet.caller.callNonIdempotent("book-1", apiKey = "sixth") as HttpReply.Answered).status)
    }

    @Test
    fun `given a blocked prompt part in the store, then requests with it are refused until an operator drops it`() {
        val key = "ragwortbank/blocks/part:a1"
        fleet.deployment.store.put(key, "")
        assertTrue(Polling.until { (fleet.caller.generate("chat-1", "a1") as HttpReply.Answered).status == 503 })
        val refused = fleet.caller.generate("chat-2", "a1") as HttpReply.Answered
        assertTrue("request_blocked" in refused.text && "not run" in refused.text, refused.text)
        assertTrue(fleet.caller.callIdempotent("look-1").hasSucceeded())
        fleet.deployment.store.remove(key)
        assertTrue(Polling.until { fleet.caller.generate("chat-3", "a1").hasSucceeded() })
    }

    @Test
    fun `given a store that is down for long, then requests get status 503 until the store is available again`() {
        fleet.deployment.store.setUnavailable(true)
        assertTrue(Polling.until { (fleet.caller.callIdempotent("lost") as HttpReply.Answered).status == 503 })
        fleet.deployment.store.setUnavailable(false)
        assertTrue(Polling.until { fleet.caller.callIdempotent("regained").hasSucceeded() })
    }

    @Test
    fun `given a malformed settings file, when a process reloads it, then it continues to serve requests`() {
        val processes = listOf(fleet.gateway, fleet.placer)
        processes.forEach { it.requestSettingsReload() }
        assertTrue(fleet.caller.callIdempotent("look-1").hasSucceeded())
        listOf("gateway.toml", "placer.toml").forEach { launcher.writeSettings(it, "name = ") }
        processes.forEach { it.requestSettingsReload() }
        repeat(5) { assertTrue(fleet.caller.generate("chat-$it", "a1").hasSucceeded()) }
        assertTrue(processes.all { it.isAlive })
    }

    @Test
    fun `each process serves its metrics on its admin address`() {
        listOf(fleet.gateway, fleet.placer).forEach { process ->
            val page = BlockingHttp.get(process.address("admin"), "/metrics") as HttpReply.Answered
            assertTrue("ragwortbank_" in page.text, page.text)
        }
    }

    private fun requestIdsAtPlainService(prefix: String): List<String> =
        fleet.deployment.plainService.executedRequestIds.filter { it.startsWith(prefix) }

    private companion object {
        /** Bound set by the operators on the time until a new configuration applies. */
        const val CONFIG_BOUND_MILLIS = 2_000L
    }
}
