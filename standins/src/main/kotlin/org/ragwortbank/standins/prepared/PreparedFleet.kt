package org.ragwortbank.standins.prepared

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.ragwortbank.standins.fleet.ChildProcess
import org.ragwortbank.standins.fleet.Launcher
import org.ragwortbank.standins.fleet.Polling
import kotlin.time.Duration.Companion.seconds

/**
 * A placer and a gateway that run as separate processes against a [PreparedDeployment].
 *
 * @property jvmFlags extra JVM flags of the process with the given role
 * @property moreGatewaySettings lines at the end of the gateway's settings
 */
class PreparedFleet(
    private val launcher: Launcher,
    private val moreGatewaySettings: String = "",
    private val jvmFlags: (String) -> List<String> = { emptyList() },
) {
    private val eventLoops: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** The store and workers that the processes connect to. */
    val deployment = PreparedDeployment(eventLoops)

    /** The placer of the engine. */
    val placer: ChildProcess = launcher.startInstance("placer", "placer", placerSettings(), jvmFlags("placer"))

    /** The gateway. */
    val gateway: ChildProcess = launcher.startInstance("gateway", "gateway", gatewaySettings(), jvmFlags("gateway"))

    /** Sends requests through the gateway. */
    val caller = PreparedCaller(gateway.address("http"))

    /** Waits until the gateway has read a configuration and serves requests; false if the wait timed out. */
    fun awaitReady(): Boolean = Polling.until { caller.callIdempotent("ready").hasSucceeded() }

    /** Stops both processes and returns their exit codes; null for one that is still running after [STOP_TIMEOUT]. */
    fun stop(): List<Int?> {
        val children = listOf(gateway, placer)
        children.forEach { it.terminate() }
        val exitCodes = children.map { it.awaitExit(STOP_TIMEOUT) }
        children.filter { it.isAlive }.forEach { it.kill() }
        eventLoops.shutdownGracefully()
        return exitCodes
    }

    private fun placerSettings() = launcher.writeSettings(
        "placer.toml",
        """
        name = "placer-1"
        engine_address = "${deployment.engineAddress}"
        """.trimIndent(),
    )

    private fun gatewaySettings() = launcher.writeSettings(
        "gateway.toml",
        """
        name = "gateway-1"
        store_address = "${deployment.storeAddress}"
        placer_port = ${placer.address("peer").port}
        """.trimIndent() + "\n" + moreGatewaySettings,
    )

    private companion object {
        val STOP_TIMEOUT = 12.seconds
    }
}
