package org.ragwortbank.standins.prepared

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.ragwortbank.clients.http.Address
import org.ragwortbank.standins.fleet.ChildProcess
import org.ragwortbank.standins.fleet.Polling
import org.ragwortbank.standins.fleet.testLauncher
import java.net.ServerSocket
import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Two gateway processes before a service of which three workers run one software version and two another. */
internal class VersionsFleet {
    private val launcher = testLauncher("ragwortbank-versions")
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val deployment = PreparedDeployment(group)
    private val callers = Executors.newCachedThreadPool()
    private val workers = versions.mapIndexed { index, version -> start("i-tale-$index", version) }
    private val addresses = List(2) { ServerSocket(0).use { Address("127.0.0.1", it.localPort) } }
    private var gateways = emptyList<ChildProcess>()
    private var lastStart = 0

    /** The platform's store. */
    val store: StoreStandIn get() = deployment.store

    /** Starts the gateways and waits until both versions begin streams. */
    fun start() {
        val streamRoute = """"prefix":"/tale/","route_type":"streaming","resumable":true"""
        val config = PreparedDeployment.configJson(2, otherServices = listOf(SERVICE), maxAttempts = 2)
            .replace(""""prefix":"/again/$SERVICE/","route_type":"idempotent"""", streamRoute)
        store.put("op/config", config)
        startGateways()
        assertTrue(Polling.until { begunVersions("warm") == setOf("v1", "v2") }, "only one version begins streams")
    }

    /** Starts the gateways that don't run. */
    fun startGateways() {
        gateways = addresses.mapIndexed { index, address ->
            gateways.getOrNull(index)?.takeIf { it.isAlive } ?: startGateway("gateway-$index", address)
        }
    }

    /** Kills the gateways with these indices at once and waits for their ends. */
    fun killGateways(vararg indices: Int) {
        val killed = indices.map { gateways[it] }
        killed.forEach { it.kill() }
        killed.forEach { it.awaitExit(STOP_TIMEOUT) }
    }

    /** Makes the gateway [index] stand still until [resumeGateway]. */
    fun suspendGateway(index: Int) = gateways[index].suspend()

    /** Lets the gateway [index] go on. */
    fun resumeGateway(index: Int) = gateways[index].resume()

    /** Ends the worker [index] and starts it again at once, at [version] under its id and at its address. */
    fun restartWorker(index: Int, version: String) {
        val restarted = workers[index]
        restarted.update { it.copy(version = version) }
        restarted.worker.restart()
        register("i-tale-$index", restarted, born = 2)
    }

    /** Has the workers of [version] break each stream off after [events]; null for none. */
    fun breakOff(version: String, events: Int?) = workers.filter { it.script.version == version }.forEach { worker ->
        worker.update { it.copy(breakAfter = events) }
    }

    /** Begins [count] streams, of which half come to each gateway first. */
    fun call(prefix: String, count: Int): List<Future<CalledStream>> = List(count) { index ->
        callAt(index % 2, "$prefix-$index")
    }

    /** Begins a stream that comes to the gateway [index] first, and to the other one when it breaks off. */
    fun callAt(index: Int, name: String): Future<CalledStream> {
        val order = if (index == 0) addresses else addresses.reversed()
        return callers.submit<CalledStream> { StreamCaller(name, order, eventCount).call() }
    }

    /** Lines of the gateways' logs that name [text]. */
    fun logLines(text: String): List<String> =
        addresses.indices.flatMap { index ->
            launcher.directory.toFile().listFiles().orEmpty()
                .filter { it.name.startsWith("gateway-$index") && it.name.endsWith(".log") }
                .flatMap { it.readLines() }
                .filter { text in it }
        }

    /** Stops the processes and workers. */
    fun stop() {
        gateways.forEach { it.terminate() }
        gateways.forEach { gateway -> gateway.awaitExit(STOP_TIMEOUT) ?: gateway.kill() }
        callers.shutdownNow()
        group.shutdownGracefully()
    }

    private fun begunVersions(prefix: String): Set<String> =
        call("$prefix-${System.nanoTime()}", WARM_STREAMS).flatMap { it.get().versions }.toSet()

    private fun startGateway(name: String, address: Address): ChildProcess {
        val settings = launcher.writeSettings(
            "$name.toml",
            """
            name = "$name"
            http_address = "$address"
            store_address = "${deployment.storeAddress}"
            """.trimIndent(),
        )
        return launcher.startInstance("$name-start-${++lastStart}", "gateway", settings)
    }

    private fun start(id: String, version: String): ScriptedWorker {
        val worker = WorkerStandIn(group, id, model = null)
        worker.behaviour.set(WorkerBehaviour(stream = StreamScript(version)))
        return ScriptedWorker(worker, worker.start()).also { register(id, it, born = 1) }
    }

    private fun register(id: String, worker: ScriptedWorker, born: Long) {
        val version = worker.script.version
        val registration = WorkerState().toRegistrationJson(SERVICE, worker.address, version = version, born = born)
        deployment.store.put("servers/$id", registration)
    }

    private class ScriptedWorker(val worker: WorkerStandIn, val address: Address) {
        val script: StreamScript get() = checkNotNull(worker.behaviour.get().stream)

        fun update(edit: (StreamScript) -> StreamScript) {
            worker.behaviour.updateAndGet { it.copy(stream = edit(script)) }
        }
    }

    private companion object {
        val versions = listOf("v1", "v2", "v1", "v2", "v1")
        val eventCount = StreamScript("").eventCount
        const val SERVICE = "tale"
        const val WARM_STREAMS = 6
        val STOP_TIMEOUT = 12.seconds
    }
}
