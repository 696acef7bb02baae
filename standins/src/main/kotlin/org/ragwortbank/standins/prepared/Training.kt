package org.ragwortbank.standins.prepared

import org.ragwortbank.standins.fleet.Launcher
import java.nio.file.Path
import kotlin.io.path.absolutePathString
import kotlin.system.exitProcess

private const val ROUNDS = 40
private const val ADAPTERS = 7
private const val FIRST_TIER_FLAG = "-XX:TieredStopAtLevel=1"

/**
 * Sends a short load through a placer and a gateway, so that the JVM archives the classes that they use (AppCDS).
 * Exits with 1 if the gateway did not become ready, a round failed, or a process ended with an exit code other than 0.
 *
 * Arguments: the product's jar, the stand-ins' jar, the directory for the class archives.
 */
fun main(args: Array<String>) {
    val (productJar, standInsJar, directory) = args.map(Path::of)
    val fleet = PreparedFleet(Launcher(productJar, standInsJar, directory.resolve("training"))) { role ->
        listOf(FIRST_TIER_FLAG, "-XX:ArchiveClassesAtExit=" + directory.resolve("$role.jsa").absolutePathString())
    }
    val isReady = fleet.awaitReady()
    val succeededRounds = (1..ROUNDS).count { runRound(fleet, it) }
    fleet.deployment.store.put("op/config", PreparedDeployment.configJson(version = 2))
    val exitCodes = fleet.stop()
    println("gateway ready: $isReady, $succeededRounds of $ROUNDS rounds succeeded, exit codes: $exitCodes")
    exitProcess(if (isReady && succeededRounds == ROUNDS && exitCodes.all { it == 0 }) 0 else 1)
}

private fun runRound(fleet: PreparedFleet, round: Int): Boolean {
    val replyToUnknownKey = fleet.caller.callNonIdempotent("unknown-$round", apiKey = "none")
    val replies = listOf(
        fleet.caller.generate("chat-$round", "a${round % ADAPTERS}"),
        fleet.caller.callNonIdempotent("book-$round"),
        fleet.caller.callIdempotent("look-$round"),
    )
    return !replyToUnknownKey.hasSucceeded() && replies.all { it.hasSucceeded() }
}
