package org.ragwortbank.standins.load

import org.ragwortbank.clients.http.Address
import org.ragwortbank.standins.fleet.BlockingHttp
import org.ragwortbank.standins.fleet.Fleet
import org.ragwortbank.standins.fleet.FleetPlan
import org.ragwortbank.standins.fleet.Launcher
import org.ragwortbank.standins.fleet.Polling
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Compares requests through one entry and one sidecar with requests sent to the engine directly. */
internal class Load(private val launcher: Launcher, private val exampleDirectory: Path) {
    private val plan = FleetPlan(
        entries = 1,
        engines = 1,
        tokenMillis = 0,
        responseTokens = OUTPUT_TOKENS,
        isQuiet = true,
    )
    private val fleet = Fleet(launcher, plan)
    private val entry = fleet.entries.single()
    private val sidecar = fleet.sidecars.first()
    private val engine = fleet.upstreams.first()
    private val processes = listOf(entry, sidecar)

    fun run() {
        val apiKey = applyTablesAndIssueKey()
        val direct = LoadTarget("direct", engine.address("address"), "ski-advice@3")
        val viaEntry = LoadTarget("through", entry.address("http"), "ski-advice")
        (WARM_UP_RATES + REQUEST_RATES).forEach { requestsPerSecond ->
            measure(direct, apiKey, requestsPerSecond)
            measure(viaEntry, apiKey, requestsPerSecond)
        }
        measureIdle()
        fleet.stop()
    }

    private fun applyTablesAndIssueKey(): String {
        val tableFlags = listOf("--routes=$exampleDirectory/routes.toml", "--pools=$exampleDirectory/pools-load.toml")
        val addressFlags = listOf("--kv=${fleet.kvAddress}", "--instances=${fleet.instancesAddress}")
        launcher.runCommand(listOf("apply") + tableFlags + addressFlags)
        val apiKey = launcher.runCommand(listOf("keys", "give", "blue-hollow", "--kv=${fleet.kvAddress}")).output
        check(Polling.until { BlockingHttp.get(entry.address("http"), "/v1/models", apiKey).toString().isNotEmpty() })
        Thread.sleep(SETTLE_MILLIS)
        return apiKey
    }

    private fun measure(target: LoadTarget, apiKey: String, requestsPerSecond: Int) {
        val cpuTimesBefore = processes.map(::cpuTime)
        val call = LoadRun.completionCall(target.model, apiKey, OUTPUT_TOKENS)
        val result = LoadRun(target.address, call, CALLER_COUNT, requestsPerSecond, RUN_DURATION).run()
        val (entryCpuTime, sidecarCpuTime) = cpuTimeSince(cpuTimesBefore)
        val label = if (requestsPerSecond == 0) target.label else "${target.label} $requestsPerSecond"
        println(
            result.formatLine(label) + "  cpu entry ${cpuPerRequest(entryCpuTime, result)}" +
                " sidecar ${cpuPerRequest(sidecarCpuTime, result)}",
        )
    }

    private fun cpuTimeSince(cpuTimesBefore: List<Duration>): List<Duration> =
        processes.map(::cpuTime).zip(cpuTimesBefore) { after, earlier -> after - earlier }

    private fun cpuPerRequest(cpuTime: Duration, result: LoadResult): String =
        "%.0f us".format(cpuTime.inWholeMicroseconds.toDouble() / result.answered.coerceAtLeast(1))

    private fun measureIdle() {
        val cpuTimesBefore = processes.map(::cpuTime)
        Thread.sleep(RUN_DURATION.inWholeMilliseconds)
        val (entryCpuTime, sidecarCpuTime) = cpuTimeSince(cpuTimesBefore)
        println("idle: entry ${corePercent(entryCpuTime)} of a core, sidecar ${corePercent(sidecarCpuTime)} of a core")
    }

    private fun corePercent(cpuTime: Duration): String = "%.2f %%".format(cpuTime / RUN_DURATION * PERCENT)

    private data class LoadTarget(val label: String, val address: Address, val model: String)

    private companion object {
        /** Requests per second; at zero each caller sends its next request at once, which also warms up the JIT. */
        val WARM_UP_RATES = listOf(0)
        val REQUEST_RATES = listOf(100, 500, 1_000, 0)
        const val OUTPUT_TOKENS = 16
        const val CALLER_COUNT = 32
        const val SETTLE_MILLIS = 3_000L
        const val PERCENT = 100
        val RUN_DURATION = 6.seconds
    }
}

/**
 * Runs the load comparison and prints one line per run.
 *
 * Arguments: the product's jar, the stand-ins' jar, the directory for logs, the directory of the example tables.
 */
fun main(args: Array<String>) {
    val paths = args.map(Path::of)
    val (productJar, standInsJar, logDirectory) = paths
    Load(Launcher(productJar, standInsJar, logDirectory, usesOptimizingCompiler = true), paths.last()).run()
    exitProcess(0)
}
