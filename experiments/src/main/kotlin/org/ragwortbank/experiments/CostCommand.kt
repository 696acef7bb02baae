package org.ragwortbank.experiments

import org.ragwortbank.core.entry.EntryTables
import org.ragwortbank.experiments.cost.CostFixture
import picocli.CommandLine.Command
import java.util.concurrent.Callable

/** Measures how the cost of an entry's decisions grows with its tables. */
@Command(
    name = "cost",
    mixinStandardHelpOptions = true,
    description = ["Measures time per tick and request and memory per row of an entry's tables."],
)
class CostCommand : Callable<Int> {
    override fun call(): Int {
        println("%-9s %-10s %-14s %-16s %s".format("routes", "upstreams", "idle tick us", "request us", "tables MB"))
        SIZES.forEach { (routes, upstreams) -> measure(routes, upstreams) }
        return 0
    }

    private fun measure(routes: Int, upstreams: Int) {
        val fixture = CostFixture(routes, upstreams)
        val before = usedBytes()
        val tables = fixture.tables()
        val bytes = usedBytes() - before
        val idle = nanosEach(IDLE_ROUNDS, tables) { t, _ -> fixture.idleTick(t) }
        val request = nanosEach(REQUEST_ROUNDS, tables) { t, number -> fixture.request(t, number) }
        val line = "%-9d %-10d %-14.2f %-16.2f %.1f"
        println(line.format(routes, upstreams, idle / NANOS_PER_MICRO, request / NANOS_PER_MICRO, bytes / MEGABYTE))
    }

    /** Nanoseconds of one call, after a first half that only warms up. */
    private fun nanosEach(rounds: Int, tables: EntryTables, action: (EntryTables, Long) -> EntryTables): Double {
        val warm = (1..rounds).fold(tables) { t, number -> action(t, number.toLong()) }
        val begin = System.nanoTime()
        (rounds + 1..2 * rounds).fold(warm) { t, number -> action(t, number.toLong()) }
        return (System.nanoTime() - begin).toDouble() / rounds
    }

    private fun usedBytes(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()
    }

    private companion object {
        const val IDLE_ROUNDS = 100_000
        const val REQUEST_ROUNDS = 20_000
        const val COLLECTIONS = 3
        const val NANOS_PER_MICRO = 1e3
        const val MEGABYTE = 1e6
        val SIZES = listOf(
            3_000 to 16,
            30_000 to 16,
            120_000 to 16,
            3_000 to 128,
            3_000 to 1_100,
            120_000 to 1_100,
        )
    }
}
