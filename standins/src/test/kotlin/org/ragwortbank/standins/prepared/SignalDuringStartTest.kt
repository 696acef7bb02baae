package org.ragwortbank.standins.prepared

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.standins.fleet.Polling
import org.ragwortbank.standins.fleet.testLauncher
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Sends signals to gateways that have opened their port and are still starting. */
class SignalDuringStartTest {
    private val launcher = testLauncher("ragwortbank-signals")
    private val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val deployment = PreparedDeployment(eventLoops)

    @AfterTest
    fun `stop the stand-ins`() {
        eventLoops.shutdownGracefully()
    }

    // Guards against SIGTERM ending a gateway that starts, with the requests that callers have sent to its open port.
    @Test
    fun `given SIGTERM while a gateway starts, then the requests sent to its open port are answered`() {
        STOP_DELAYS_MILLIS.forEach { delay ->
            val address = freeAddress()
            val process = beginGateway("stopped-after-$delay", address)
            val replies = (1..4).map { CompletableFuture.supplyAsync { call(address, "look-$delay-$it") } }
            Thread.sleep(delay)
            process.destroy()
            assertTrue(replies.all { it.get() is HttpReply.Answered }, "after $delay ms: ${replies.map { it.get() }}")
            assertEquals(0, exitCode(process), "after $delay ms")
        }
    }

    // Guards against a settings reload ending a gateway that starts.
    @Test
    fun `given SIGHUP while a gateway starts, then it goes on and serves requests`() {
        val address = freeAddress()
        val process = beginGateway("reloaded", address)
        ProcessBuilder("kill", "-HUP", process.pid().toString()).start().waitFor()
        assertTrue(Polling.until { (call(address, "look") as? HttpReply.Answered)?.isSuccess ?: false })
        process.destroy()
        assertEquals(0, exitCode(process))
    }

    // Guards against a process that fails to start and stays, with an open port that nobody serves.
    @Test
    fun `given a port that is in use, when a gateway starts, then it ends with a failure`() =
        ServerSocket(0).use { occupied ->
            val process = beginGateway("failed", freeAddress(), adminPort = occupied.localPort)
            assertTrue(exitCode(process) ?: 0 > 0, "the process has not ended with a failure")
        }

    private fun call(address: Address, requestId: String): HttpReply = PreparedCaller(address).callIdempotent(requestId)

    /** Starts a gateway that accepts callers at [address], and returns once it does. */
    private fun beginGateway(name: String, address: Address, adminPort: Int = 0): Process {
        val settings = launcher.writeSettings(
            "$name.toml",
            """
            name = "$name"
            http_address = "$address"
            admin_address = "127.0.0.1:$adminPort"
            store_address = "${deployment.storeAddress}"
            """.trimIndent(),
        )
        val process = launcher.beginInstance(name, "gateway", settings)
        assertTrue(Polling.until(POLL_MILLIS) { isOpen(address) }, "the port of $name did not open")
        return process
    }

    private fun freeAddress(): Address = ServerSocket(0).use { Address("127.0.0.1", it.localPort) }

    private fun isOpen(address: Address): Boolean =
        try {
            Socket(address.host, address.port).close()
            true
        } catch (_: IOException) {
            false
        }

    private fun exitCode(process: Process): Int? {
        val hasExited = process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        if (!hasExited) process.destroyForcibly()
        return if (hasExited) process.exitValue() else null
    }

    private companion object {
        /** Times from the opening of the port to the signal; a start takes some hundred milliseconds. */
        val STOP_DELAYS_MILLIS = listOf(50L, 100L, 200L, 400L)
        const val POLL_MILLIS = 2L
        const val EXIT_TIMEOUT_SECONDS = 12L
    }
}
