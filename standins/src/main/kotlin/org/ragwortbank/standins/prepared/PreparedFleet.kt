package org.ragwortbank.standins.prepared

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.ragwortbank.standins.fleet.ChildProcess
import org.ragwortbank.standins.fleet.Launcher
import org.ragwortbank.standins.fleet.Polling
import kotlin.time.Duration.Companion.seconds

/** A placer and a gateway as processes of their own on a [PreparedSite]. */
class PreparedFleet(private val launcher: Launcher, private val flags: (String) -> List<String> = { emptyList() }) {
    private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** What the processes stand on. */
    val site = PreparedSite(group)

    /** The placer beside the engine. */
    val placer: ChildProcess = launcher.startInstance("placer", "placer", placerSettings(), flags("placer"))

    /** The gateway. */
    val gateway: ChildProcess = launcher.startInstance("gateway", "gateway", gatewaySettings(), flags("gateway"))

    /** Calls through the gateway. */
    val calls = PreparedCalls(gateway.address("http"))

    /** Waits until the gateway has read a configuration, and tells whether it did. */
    fun awaitReady(): Boolean = Polling.until { calls.look("ready").succeeded() }

    /** Stops both and returns their exit codes; null for one that doesn't stop. */
    fun stop(): List<Int?> {
        val children = listOf(gateway, placer)
        children.forEach { it.terminate() }
        val codes = children.map { it.awaitExit(LONGEST_STOP) }
        children.filter { it.isAlive }.forEach { it.kill() }
        group.shutdownGracefully()
        return codes
    }

    private fun placerSettings() = launcher.writeSettings(
        "placer.toml",
        """
        name = "placer-1"
        engine_address = "${site.engineAddress}"
        """.trimIndent(),
    )

    private fun gatewaySettings() = launcher.writeSettings(
        "gateway.toml",
        """
        name = "gateway-1"
        store_address = "${site.storeAddress}"
        placer_port = ${placer.address("peer").port}
        """.trimIndent(),
    )

    private companion object {
        val LONGEST_STOP = 12.seconds
    }
}
