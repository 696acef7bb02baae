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

/** Starts a fleet, configures it with the operators' commands and sends it requests of every kind. */
internal class Demo(launcher: Launcher, examples: Path) {
    private val fleet = Fleet(launcher, FleetPlan(entrySettings = "[entry]\ndrain_grace = \"500ms\""))

    private val setup = DemoSetup(launcher, fleet, examples)

    /** Runs all cases, stops the fleet and returns whether all results and the stop were as expected. */
    fun run(): Boolean {
        val keys = setup.run()
        val cases = DemoCases(fleet.httpAddresses, keys, setup::revoke).allCases()
        val results = cases.map(::runCase) + checkKeyLeaks(keys)
        results.printTable()
        val unstopped = fleet.stop()
        println(if (unstopped.isEmpty()) "all processes stopped gracefully" else "did not stop gracefully: $unstopped")
        return results.all { it.isAsExpected } && unstopped.isEmpty()
    }

    /** Keeps the fleet running until SIGINT or SIGTERM, then stops it; returns whether the stop was graceful. */
    fun runUntilInterrupted(): Boolean {
        val keys = setup.run()
        val interrupted = CountDownLatch(1)
        listOf("INT", "TERM").forEach { name -> Signal.handle(Signal(name)) { interrupted.countDown() } }
        val admin = (fleet.entries + fleet.sidecars).joinToString(",") { it.address("admin").toString() }
        println("ready entries=${fleet.httpAddresses.joinToString(",")} key=${keys.large} admin=$admin")
        interrupted.await()
        return fleet.stop().isEmpty()
    }

    /** Kills all processes; used when the demo itself has failed. */
    fun kill() = fleet.kill()

    private fun runCase(case: DemoCase): DemoResult {
        val reply = case.sendRequest()
        val text = (reply as? HttpReply.Answered)?.text.orEmpty()
        val code = Regex("\"code\":(\\d+)").find(text)?.groupValues?.get(1) ?: "-"
        val isAsExpected = reply.statusOrZero() == case.expectedStatus &&
            code == (case.expectedCode?.toString() ?: "-") &&
            case.expectedText in text
        return DemoResult(case.name, reply.statusOrZero(), code, isAsExpected)
    }

    /** Checks that the upstreams got calls and that none of these contained an API key. */
    private fun checkKeyLeaks(keys: DemoKeys): DemoResult {
        val seenCalls = fleet.upstreams.map { BlockingHttp.get(it.address("address"), "/control/seen") }
        val texts = seenCalls.map { (it as HttpReply.Answered).text }
        val isLeaked = texts.any { text -> keys.toList().any { it in text } }
        val upstreamsWereCalled = texts.count { it.length > 2 } > 0
        return DemoResult("no upstream saw a key", OK, "-", !isLeaked && upstreamsWereCalled)
    }

    private companion object {
        const val OK = 200
    }
}

/**
 * Runs the demo; with `--hold` it keeps the fleet running instead of sending requests.
 *
 * Other arguments: the product's jar, the stand-ins' jar, a directory for logs, the directory of the example tables.
 */
fun main(args: Array<String>) {
    val paths = args.filterNot { it.startsWith("--") }.map(Path::of)
    val (productJar, standInsJar, logDirectory) = paths
    val demo = Demo(Launcher(productJar, standInsJar, logDirectory), examples = paths.last())
    val succeeded = try {
        if ("--hold" in args) demo.runUntilInterrupted() else demo.run()
    } catch (e: IllegalStateException) {
        System.err.println(e.message)
        demo.kill()
        false
    }
    exitProcess(if (succeeded) 0 else 1)
}
