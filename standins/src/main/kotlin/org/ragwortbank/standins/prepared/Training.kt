package org.ragwortbank.standins.prepared

import org.ragwortbank.standins.fleet.Launcher
import java.nio.file.Path
import kotlin.io.path.absolutePathString
import kotlin.system.exitProcess

private const val ROUNDS = 40
private const val ADAPTERS = 7
private const val FLAGS = "-XX:TieredStopAtLevel=1"

/**
 * Runs a placer and a gateway through a short load, so that the Java runtime records the classes that they use.
 *
 * Arguments: the product's binary, the stand-ins' binary, the directory for the archives of classes.
 */
fun main(args: Array<String>) {
    val (product, standIns, target) = args.map(Path::of)
    val fleet = PreparedFleet(Launcher(product, standIns, target.resolve("training"))) { role ->
        listOf(FLAGS, "-XX:ArchiveClassesAtExit=" + target.resolve("$role.jsa").absolutePathString())
    }
    val ready = fleet.awaitReady()
    val good = (1..ROUNDS).count { trains(fleet, it) }
    fleet.site.store.put("op/config", PreparedSite.config(version = 2))
    val codes = fleet.stop()
    println("ready $ready, $good of $ROUNDS rounds answered, exit codes $codes")
    exitProcess(if (ready && good == ROUNDS && codes.all { it == 0 }) 0 else 1)
}

private fun trains(fleet: PreparedFleet, round: Int): Boolean {
    val unknown = fleet.calls.book("unknown-$round", key = "none")
    val replies = listOf(
        fleet.calls.chat("chat-$round", "a${round % ADAPTERS}"),
        fleet.calls.book("book-$round"),
        fleet.calls.look("look-$round"),
    )
    return !unknown.succeeded() && replies.all { it.succeeded() }
}
