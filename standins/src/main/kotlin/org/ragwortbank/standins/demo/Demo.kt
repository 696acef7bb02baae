package org.ragwortbank.standins.demo

import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.standins.fleet.BlockingHttp
import org.ragwortbank.standins.fleet.Fleet
import org.ragwortbank.standins.fleet.FleetPlan
import org.ragwortbank.standins.fleet.Launcher
import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** Starts a fleet, sets it up as an operator would, and sends it requests of every kind. */
internal class Demo(launcher: Launcher, examples: Path) {
    private val fleet = Fleet(launcher, FleetPlan(entrySettings = "[entry]\ndrain_grace = \"500ms\""))

    private val setup = DemoSetup(launcher, fleet, examples)

    /** Runs all cases, stops the fleet and tells whether each got what it should. */
    fun run(): Boolean {
        val keys = setup.run()
        val results = DemoCases(fleet.httpAddresses, keys, setup::withdraw).all().map(::runCase) + keyCheck(keys)
        results.printTable()
        val stuck = fleet.stop()
        println(if (stuck.isEmpty()) "all processes stopped gracefully" else "did not stop gracefully: $stuck")
        return results.all { it.good } && stuck.isEmpty()
    }

    /** Stays up until the process is interrupted, then stops the fleet. */
    fun hold(): Boolean {
        val keys = setup.run()
        val interrupted = CountDownLatch(1)
        listOf("INT", "TERM").forEach { name -> Signal.handle(Signal(name)) { interrupted.countDown() } }
        val admin = (fleet.entries + fleet.sidecars).joinToString(",") { it.address("admin").toString() }
        println("ready entries=${fleet.httpAddresses.joinToString(",")} key=${keys.large} admin=$admin")
        interrupted.await()
        return fleet.stop().isEmpty()
    }

    /** Ends all processes at once, when the demo itself failed. */
    fun kill() = fleet.kill()

    private fun runCase(case: DemoCase): DemoResult {
        val reply = case.send()
        val text = (reply as? HttpReply.Answered)?.text.orEmpty()
        val code = Regex("\"code\":(\\d+)").find(text)?.groupValues?.get(1) ?: "-"
        val good = reply.status() == case.status && code == (case.code?.toString() ?: "-") && case.text in text
        return DemoResult(case.name, reply.status(), code, good)
    }

    /** Looks whether an upstream has seen a key. */
    private fun keyCheck(keys: DemoKeys): DemoResult {
        val seen = fleet.upstreams.map { BlockingHttp.get(it.address("address"), "/control/seen") }
        val texts = seen.map { (it as HttpReply.Answered).text }
        val leaked = texts.any { text -> keys.all().any { it in text } }
        val worked = texts.count { it.length > 2 } > 0
        return DemoResult("no upstream saw a key", OK, "-", !leaked && worked)
    }

    private companion object {
        const val OK = 200
    }
}

/** Runs the demo with the product's jar, the stand-ins' jar, a directory for logs and the example tables. */
fun main(args: Array<String>) {
    val paths = args.filterNot { it.startsWith("--") }.map(Path::of)
    val (product, standIns, logs) = paths
    val demo = Demo(Launcher(product, standIns, logs), examples = paths.last())
    val good = try {
        if ("--hold" in args) demo.hold() else demo.run()
    } catch (e: IllegalStateException) {
        System.err.println(e.message)
        demo.kill()
        false
    }
    exitProcess(if (good) 0 else 1)
}
