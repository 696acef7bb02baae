package org.ragwortbank.standins.drill

import org.ragwortbank.standins.fleet.testLauncher
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue

/** Runs gateways as processes that end and start again, before a store that goes away and comes back, also older. */
class ChangeLostInDrillTest {
    private val launcher = testLauncher("ragwortbank-drill", Path.of(System.getProperty("drill.jar", BUILT_JAR)))
    private val fleet = DrillFleet(launcher, seed)

    @AfterTest
    fun `stop the processes`() = fleet.stop()

    // Guards against a version that is acknowledged after a drill at a revision that was given out before, and missed.
    @Test
    fun `given a store that comes back from older copies, then each acknowledged version is in force in time`() =
        assertKept(listOf(StoreFault.OLDER, StoreFault.OLDER_TWICE, StoreFault.OLDER))

    @Test
    fun `given a store that goes away and loses nothing, then each acknowledged version is in force in time`() =
        assertKept(listOf(StoreFault.AWAY, StoreFault.SLOW, StoreFault.NONE))

    private fun assertKept(faults: List<StoreFault>) {
        assertTrue(fleet.start(), "a gateway did not become ready in time, see ${launcher.directory}")
        val record = fleet.play(faults.shuffled(Random(seed)))
        val check = DrillCheck(record)
        val breaches = check.breaches()
        val figures = "seed $seed: ${record.requests.size} requests, ${check.requestsInTouch.size} in touch, " +
            "${record.services.size} run, ${record.published.size} versions"
        println(figures)
        assertTrue(breaches.isEmpty(), "$figures; logs in ${launcher.directory}\n${describe(breaches)}")
    }

    private fun describe(breaches: List<Breach>): String =
        breaches.groupBy { it.promise }.map { (promise, broken) ->
            "$promise, ${broken.size}:\n" + broken.take(SHOWN).joinToString("\n") {
                "  ${it.request}\n  ${it.evidence}\n    ${fleet.logLines(it.request).joinToString("\n    ")}"
            }
        }.joinToString("\n")

    private companion object {
        const val BUILT_JAR = "../cli/target/cli-0.1.0-all.jar"
        const val SHOWN = 3
        val seed: Int = Integer.getInteger("drill.seed", 1)
    }
}
