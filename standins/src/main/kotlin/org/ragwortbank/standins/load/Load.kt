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
internal class Load(private val launcher: Launcher, private val examples: Path) {
    private val plan = FleetPlan(entries = 1, engines = 1, tokenMillis = 0, responseTokens = TOKENS, isQuiet = true)
    private val fleet = Fleet(launcher, plan)
    private val entry = fleet.entries.single()
    private val sidecar = fleet.sidecars.first()
    private val engine = fleet.upstreams.first()
    private val processes = listOf(entry, sidecar)

    fun run() {
        val key = setUp()
        val direct = Way("direct", engine.address("address"), "ski-advice@3")
        val through = Way("through", entry.address("http"), "ski-advice")
        (WARM_UP + RATES).forEach { rate ->
            measure(direct, key, rate)
            measure(through, key, rate)
        }
        idle()
        fleet.stop()
    }

    private fun setUp(): String {
        val tables = listOf("--routes=$examples/routes.toml", "--pools=$examples/pools-load.toml")
        val places = listOf("--kv=${fleet.kvAddress}", "--instances=${fleet.instancesAddress}")
        launcher.runCommand(listOf("apply") + tables + places)
        val key = launcher.runCommand(listOf("keys", "give", "blue-hollow", "--kv=${fleet.kvAddress}")).output
        check(Polling.until { BlockingHttp.get(entry.address("http"), "/v1/models", key).toString().isNotEmpty() })
        Thread.sleep(SETTLE_MILLIS)
        return key
    }

    private fun measure(way: Way, key: String, rate: Int) {
        val before = processes.map(::cpuTime)
        val call = LoadRun.completion(way.model, key, TOKENS)
        val result = LoadRun(way.address, call, CALLERS, rate, LENGTH).run()
        val (ofEntry, ofSidecar) = usedSince(before)
        val label = if (rate == 0) way.name else "${way.name} $rate"
        println(result.line(label) + "  cpu entry ${each(ofEntry, result)} sidecar ${each(ofSidecar, result)}")
    }

    private fun usedSince(before: List<Duration>): List<Duration> =
        processes.map(::cpuTime).zip(before) { now, then -> now - then }

    private fun each(used: Duration, result: LoadResult): String =
        "%.0f us".format(used.inWholeMicroseconds.toDouble() / result.answered.coerceAtLeast(1))

    private fun idle() {
        val before = processes.map(::cpuTime)
        Thread.sleep(LENGTH.inWholeMilliseconds)
        val (ofEntry, ofSidecar) = usedSince(before)
        println("idle: entry ${percent(ofEntry)} of a core, sidecar ${percent(ofSidecar)} of a core")
    }

    private fun percent(used: Duration): String = "%.2f %%".format(used / LENGTH * PERCENT)

    private data class Way(val name: String, val address: Address, val model: String)

    private companion object {
        /** Requests per second; zero is as many as can be had, which also warms the processes up. */
        val WARM_UP = listOf(0)
        val RATES = listOf(100, 500, 1_000, 0)
        const val TOKENS = 16
        const val CALLERS = 32
        const val SETTLE_MILLIS = 3_000L
        const val PERCENT = 100
        val LENGTH = 6.seconds
    }
}

/** Runs the comparison with the product's jar, the stand-ins' jar, a directory for logs and the example tables. */
fun main(args: Array<String>) {
    val paths = args.map(Path::of)
    val (product, standIns, logs) = paths
    Load(Launcher(product, standIns, logs, usesOptimizingCompiler = true), paths.last()).run()
    exitProcess(0)
}
