package org.ragwortbank.experiments

import org.ragwortbank.core.entry.EntryTables
import org.ragwortbank.experiments.cost.CostFixture
import picocli.CommandLine.Command
import java.util.concurrent.Callable

/** Measures how the time and memory of an entry's systems grow with the size of its tables. */
@Command(
    name = "cost",
    mixinStandardHelpOptions = true,
    description = ["Measures time per tick and request and memory per row of an entry's tables."],
)
class CostCommand : Callable<Int> {
    override fun call(): Int {
        println("%-9s %-10s %-14s %-16s %s".format("routes", "upstreams", "idle tick us", "request us", "tables MB"))
        TABLE_SIZES.forEach { (routeCount, upstreamCount) -> measure(routeCount, upstreamCount) }
        return 0
    }

    private fun measure(routeCount: Int, upstreamCount: Int) {
        val fixture = CostFixture(routeCount, upstreamCount)
        val usedBytesBefore = usedBytes()
        val tables = fixture.tables()
        val tableBytes = usedBytes() - usedBytesBefore
        val idleTickNanos = nanosPerCall(IDLE_ROUNDS, tables) { current, _ -> fixture.idleTick(current) }
        val requestNanos = nanosPerCall(REQUEST_ROUNDS, tables) { current, number ->
            fixture.completeRequest(current, number)
        }
        val lineFormat = "%-9d %-10d %-14.2f %-16.2f %.1f"
        println(
            lineFormat.format(
                routeCount,
                upstreamCount,
                idleTickNanos / NANOS_PER_MICRO,
                requestNanos / NANOS_PER_MICRO,
                tableBytes / BYTES_PER_MEGABYTE,
            ),
        )
    }

    /** Mean nanoseconds per call of [operation] over [rounds] calls, after as many calls to warm up the JVM. */
    private fun nanosPerCall(rounds: Int, tables: EntryTables, operation: (EntryTables, Long) -> EntryTables): Double {
        val warmedUp = (1..rounds).fold(tables) { current, number -> operation(current, number.toLong()) }
        val startNanos = System.nanoTime()
        (rounds + 1..2 * rounds).fold(warmedUp) { current, number -> operation(current, number.toLong()) }
        return (System.nanoTime() - startNanos).toDouble() / rounds
    }

    private fun usedBytes(): Long {
        repeat(GC_RUNS) { System.gc() }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()
    }

    private companion object {
        const val IDLE_ROUNDS = 100_000
        const val REQUEST_ROUNDS = 20_000
        const val GC_RUNS = 3
        const val NANOS_PER_MICRO = 1e3
        const val BYTES_PER_MEGABYTE = 1e6
        val TABLE_SIZES = listOf(
            3_000 to 16,
            30_000 to 16,
            120_000 to 16,
            3_000 to 128,
            3_000 to 1_100,
            120_000 to 1_100,
        )
    }
}
