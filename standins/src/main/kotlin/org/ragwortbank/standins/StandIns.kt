package org.ragwortbank.standins

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.standins.engine.EngineOptions
import org.ragwortbank.standins.engine.EngineStandIn
import org.ragwortbank.standins.instances.InstancesStandIn
import org.ragwortbank.standins.kv.KvStandIn
import org.ragwortbank.standins.service.ServiceStandIn
import org.ragwortbank.standins.weights.WeightsStandIn
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs one stand-in for a service of the platform until the process is killed.
 *
 * For tests, the demo and load runs only.
 */
@Command(name = "standins", mixinStandardHelpOptions = true)
class StandIns {
    private val eventLoops: EventLoopGroup = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())

    /** Runs the stand-in for the key-value service. */
    @Command(name = "kv")
    fun kv(@Option(names = ["--port"], defaultValue = "0") port: Int) = serve(KvStandIn(eventLoops).start(port))

    /** Runs the stand-in for the instance list. */
    @Command(name = "instances")
    fun instances(@Option(names = ["--port"], defaultValue = "0") port: Int) =
        serve(InstancesStandIn(eventLoops).start(port))

    /** Runs the stand-in for the weight store. */
    @Command(name = "weights")
    fun weights(
        @Option(names = ["--port"], defaultValue = "0") port: Int,
        @Option(names = ["--load-ms"], defaultValue = "250") loadMillis: Int,
        @Option(names = ["--full-speed"], defaultValue = "16") fullSpeedLoads: Int,
    ) = serve(WeightsStandIn(eventLoops, loadMillis.milliseconds, fullSpeedLoads).start(port))

    /** Runs a stand-in for a model engine. */
    @Command(name = "engine")
    fun engine(
        @Option(names = ["--port"], defaultValue = "0") port: Int,
        @Option(names = ["--slots"], defaultValue = "4") slots: Int,
        @Option(names = ["--token-ms"], defaultValue = "5") tokenMillis: Int,
        @Option(names = ["--answer-tokens"], defaultValue = "24") answerTokens: Int,
        @Option(names = ["--ignore-fencing"]) ignoreFencing: Boolean,
    ) {
        val options = EngineOptions(slots, tokenMillis.milliseconds, answerTokens, !ignoreFencing)
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        serve(EngineStandIn(eventLoops, scope, HttpClient(eventLoops, 1.seconds), options).start(port))
    }

    /** Runs a stand-in for a plain service. */
    @Command(name = "service")
    fun service(
        @Option(names = ["--port"], defaultValue = "0") port: Int,
        @Option(names = ["--answer-ms"], defaultValue = "5") answerMillis: Int,
    ) = serve(ServiceStandIn(eventLoops, answerMillis.milliseconds).start(port))

    /** Prints the ready line with [address] and keeps the process running. */
    private fun serve(address: Address) {
        println("ready address=$address")
        Thread.currentThread().join()
    }
}

/** Runs the stand-in named by the first argument. */
@Suppress("SpreadOperator")
fun main(args: Array<String>): Unit = exitProcess(CommandLine(StandIns()).execute(*args))
