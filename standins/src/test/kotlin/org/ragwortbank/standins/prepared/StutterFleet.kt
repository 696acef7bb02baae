package org.ragwortbank.standins.prepared

import org.ragwortbank.standins.fleet.testLauncher
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.test.assertTrue

/**
 * A gateway process before [LANES] services, each with [workerCount] workers that stutter, which plays cases there; the
 * workers answer other requests with the [usual] plan.
 */
class StutterFleet(private val workerCount: Int, usual: AnswerPlan = AnswerPlan()) {
    private val launcher = testLauncher("ragwortbank-stutter", Path.of(System.getProperty("stutter.jar", BUILT_JAR)))
    private val fleet = PreparedFleet(launcher)
    private val lanes = List(LANES) { StutterLane("lane-$it", fleet.gateway.address("http"), workerCount, usual) }

    /** Adds the services; false if the gateway did not get ready in time. */
    fun start(): Boolean {
        val store = fleet.deployment.store
        val services = lanes.map { it.service }
        val config = PreparedDeployment.configJson(2, otherServices = services, maxAttempts = workerCount)
        store.put("op/config", config)
        lanes.forEach { lane ->
            lane.start().forEachIndexed { index, address ->
                store.put("servers/${lane.service}-$index", WorkerState().toRegistrationJson(lane.service, address))
            }
        }
        return fleet.awaitReady()
    }

    /** Stops the processes and workers. */
    fun stop() {
        fleet.stop()
        lanes.forEach { it.stop() }
    }

    /** Plays [cases], shared out among the lanes, and returns the promises that were broken. */
    fun play(cases: List<StutterCase>): List<Violation> {
        val pool = Executors.newFixedThreadPool(LANES)
        val shares = lanes.mapIndexed { index, lane ->
            pool.submit(Callable { cases.filterIndexed { at, _ -> at % LANES == index }.flatMap(lane::play) })
        }
        pool.shutdown()
        return shares.flatMap { it.get() }
    }

    /** Plays [cases] and fails with the evidence if a promise was broken. */
    fun assertKept(cases: List<StutterCase>) {
        val violations = play(cases)
        val report = violations.joinToString("\n") { violation ->
            val lines = logLines(violation.requestId).joinToString("\n  ")
            "${violation.case.name} (${violation.requestId}): ${violation.broken}\n  ${violation.evidence}\n  $lines"
        }
        assertTrue(violations.isEmpty(), "${violations.size} broken in ${cases.size} cases:\n$report")
    }

    /** Lines of the gateway's log that name [requestId]. */
    fun logLines(requestId: String): List<String> = logText().lines().filter { "request $requestId " in it }

    private fun logText(): String = launcher.directory.resolve("gateway.log").toFile().readText()

    private companion object {
        const val LANES = 16
        const val BUILT_JAR = "../cli/target/cli-0.1.0-all.jar"
    }
}
