package org.ragwortbank.standins.load

import org.ragwortbank.standins.fleet.Caller
import org.ragwortbank.standins.fleet.Child
import org.ragwortbank.standins.fleet.Fleet
import org.ragwortbank.standins.fleet.FleetPlan
import org.ragwortbank.standins.fleet.Launcher
import org.ragwortbank.standins.fleet.Patience
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Compares requests through one entry and one sidecar with requests sent to the engine directly. */
internal class Load(private val launcher: Launcher, private val examples: Path) {
    private val plan = FleetPlan(entries = 1, engines = 1, tokenMillis = 0, answerTokens = TOKENS, quiet = true)
    private val fleet = Fleet(launcher, plan)
    private val entry = fleet.entries.single()
    private val sidecar = fleet.sidecars.first()
    private val engine = fleet.upstreams.first()

    fun run() {
        val key = setUp()
        measure("warm-up", entry, "ski-advice", key, callers = CALLERS, rate = 0)
        measure("warm-up", engine, "ski-advice@3", key, callers = CALLERS, rate = 0)
        listOf(100, 500, 1_000).forEach { rate ->
            measure("direct $rate", engine, "ski-advice@3", key, CALLERS, rate)
            measure("through $rate", entry, "ski-advice", key, CALLERS, rate)
        }
        measure("direct", engine, "ski-advice@3", key, CALLERS, rate = 0)
        measure("through", entry, "ski-advice", key, CALLERS, rate = 0)
        idle()
        fleet.stop()
    }

    private fun setUp(): String {
        val tables = listOf("--routes=$examples/routes.toml", "--pools=$examples/pools-load.toml")
        val places = listOf("--kv=${fleet.kvAddress}", "--instances=${fleet.instancesAddress}")
        launcher.command(listOf("apply") + tables + places)
        val key = launcher.command(listOf("keys", "give", "blue-hollow", "--kv=${fleet.kvAddress}")).output
        check(Patience.until { Caller.get(entry.address("http"), "/v1/models", key).toString().isNotEmpty() })
        Thread.sleep(SETTLE_MILLIS)
        return key
    }

    private fun measure(label: String, target: Child, model: String, key: String, callers: Int, rate: Int) {
        val before = listOf(entry, sidecar).map { cpuTime(listOf(it)) }
        val address = target.address(if (target == entry) "http" else "address")
        val result = LoadRun(address, LoadRun.completion(model, key, TOKENS), callers, rate, LENGTH).run()
        val used = listOf(entry, sidecar).mapIndexed { i, child -> cpuTime(listOf(child)) - before[i] }
        println(result.line(label) + "  cpu entry ${each(used[0], result)} sidecar ${each(used[1], result)}")
    }

    private fun each(used: Duration, result: LoadResult): String =
        "%.0f us".format(used.inWholeMicroseconds.toDouble() / result.answered.coerceAtLeast(1))

    private fun idle() {
        val before = listOf(entry, sidecar).map { cpuTime(listOf(it)) }
        Thread.sleep(LENGTH.inWholeMilliseconds)
        val used = listOf(entry, sidecar).mapIndexed { i, child -> cpuTime(listOf(child)) - before[i] }
        println("idle: entry ${percent(used[0])} of a core, sidecar ${percent(used[1])} of a core")
    }

    private fun percent(used: Duration): String = "%.2f %%".format(used / LENGTH * PERCENT)

    private companion object {
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
    Load(Launcher(product, standIns, logs, fast = true), paths.last()).run()
    exitProcess(0)
}
