package org.ragwortbank.standins.demo

import org.ragwortbank.core.model.Header
import org.ragwortbank.platform.http.Address
import org.ragwortbank.platform.http.HttpReply
import org.ragwortbank.standins.fleet.Caller
import org.ragwortbank.standins.fleet.Fleet
import org.ragwortbank.standins.fleet.FleetPlan
import org.ragwortbank.standins.fleet.Launcher
import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Starts a fleet, sets it up as an operator would, and sends it requests of every kind. */
internal class Demo(private val launcher: Launcher, private val examples: Path) {
    private val fleet = Fleet(launcher, FleetPlan(entrySettings = "[entry]\ndrain_grace = \"500ms\""))

    /** Runs all cases, stops the fleet and tells whether each got what it should. */
    fun run(): Boolean {
        val keys = setUp()
        val results = DemoCases(fleet.httpAddresses, keys, ::withdraw).all().map(::runCase) + keyCheck(keys)
        printTable(results)
        val stuck = fleet.stop()
        println(if (stuck.isEmpty()) "all processes stopped gracefully" else "did not stop gracefully: $stuck")
        return results.all { it.good } && stuck.isEmpty()
    }

    /** Stays up until the process is interrupted, then stops the fleet. */
    fun hold(): Boolean {
        val keys = setUp()
        val interrupted = CountDownLatch(1)
        listOf("INT", "TERM").forEach { name -> Signal.handle(Signal(name)) { interrupted.countDown() } }
        val admin = (fleet.entries + fleet.sidecars).joinToString(",") { it.address("admin").toString() }
        println("ready entries=${fleet.httpAddresses.joinToString(",")} key=${keys.large} admin=$admin")
        interrupted.await()
        return fleet.stop().isEmpty()
    }

    /** Ends all processes at once, when the demo itself failed. */
    fun kill() = fleet.kill()

    private fun setUp(): DemoKeys {
        check(apply() == 0) { "the tables were not put in force, see ${launcher.directory}" }
        val keys = DemoKeys(large = give("blue-hollow"), small = give("small-club"), withdrawn = give("blue-hollow"))
        check(Patience.until { serves(keys) }) { "the fleet does not serve, see ${launcher.directory}" }
        return keys
    }

    private fun apply(): Int {
        val result = launcher.command(
            "apply",
            "--routes", examples.resolve("routes.toml").toString(),
            "--pools", examples.resolve("pools.toml").toString(),
            "--kv", fleet.kvAddress.toString(),
            "--instances", fleet.instancesAddress.toString(),
        )
        println(result.output)
        return result.exitCode
    }

    private fun give(account: String): String =
        launcher.command("keys", "give", account, "--kv", fleet.kvAddress.toString()).output

    private fun withdraw(key: String) {
        val hash = org.ragwortbank.node.http.hashKey(key).hex
        launcher.command("keys", "withdraw", hash, "--kv", fleet.kvAddress.toString())
        val gone = Patience.until { fleet.httpAddresses.all { Caller.get(it, "/v1/models", key).size() == 0 } }
        check(gone) { "a withdrawn key still works" }
    }

    private fun serves(keys: DemoKeys): Boolean {
        val ready = fleet.entries.all { Caller.get(it.address("admin"), "/ready").status() == OK }
        return ready && fleet.httpAddresses.all { address -> keys.all().all { Caller.get(address, "/v1/models", it).size() > 0 } }
    }

    private fun runCase(case: DemoCase): DemoResult {
        val reply = case.send()
        val text = (reply as? HttpReply.Answered)?.text.orEmpty()
        val code = Regex("\"code\":(\\d+)").find(text)?.groupValues?.get(1) ?: "-"
        val good = reply.status() == case.status && code == (case.code?.toString() ?: "-") && case.text in text
        return DemoResult(case.name, reply.status(), code, good)
    }

    /** Looks whether an upstream has seen a key. */
    private fun keyCheck(keys: DemoKeys): DemoResult {
        val seen = fleet.upstreams.map { Caller.get(it.address("address"), "/control/seen") }
        val texts = seen.map { (it as HttpReply.Answered).text }
        val leaked = texts.any { text -> keys.all().any { it in text } }
        val worked = texts.count { it.length > 2 } > 0
        return DemoResult("no upstream saw a key", OK, "-", !leaked && worked)
    }

    private fun printTable(results: List<DemoResult>) {
        println("%-52s %-7s %-5s %s".format("request", "status", "code", "as expected"))
        results.forEach { println("%-52s %-7d %-5s %s".format(it.name, it.status, it.code, if (it.good) "yes" else "NO")) }
    }

    private companion object {
        const val OK = 200
    }
}

/** The keys of the demo. */
internal data class DemoKeys(val large: String, val small: String, val withdrawn: String) {
    /** All of them. */
    fun all(): List<String> = listOf(large, small, withdrawn)
}

/** The cases of the demo; [withdraw] withdraws a key and returns when that is in force. */
internal class DemoCases(
    private val entries: List<Address>,
    private val keys: DemoKeys,
    private val withdraw: (String) -> Unit,
) {
    fun all(): List<DemoCase> = answers() + services() + refusals()

    private fun answers(): List<DemoCase> = listOf(
        DemoCase("chat, whole, adapter loaded on demand", OK, text = "ski-advice@3:23") {
            chat(entries[0], keys.large, "ski-advice", stream = false)
        },
        DemoCase("chat, streamed, through the other entry", OK, text = "data: [DONE]") {
            chat(entries[1], keys.large, "ski-advice", stream = true)
        },
        DemoCase("completion, another adapter", OK, text = "roster-summary@1:23") {
            val body = """{"model":"roster-summary","prompt":"the week's lessons","max_tokens":64}"""
            Caller.post(entries[0], "/v1/completions", keys.large, body)
        },
        DemoCase("models that the small club may reach", OK, text = "\"data\":[{\"id\":\"ski-advice\"}]") {
            Caller.get(entries[1], "/v1/models", keys.small)
        },
    )

    private fun services(): List<DemoCase> = listOf(
        DemoCase("plain service call", OK, text = "/lessons?day=1") {
            Caller.get(entries[0], "/services/bookings/lessons?day=1", keys.large)
        },
        DemoCase("booking that must run only once", OK, text = "/lessons") { book(entries[0]) },
        DemoCase("the same booking again, through the other entry", CONFLICT, code = 4005) { book(entries[1]) },
    )

    private fun refusals(): List<DemoCase> = listOf(
        DemoCase("no key", UNAUTHORIZED, code = 1002, text = "not run") { chat(entries[0], null, "ski-advice") },
        DemoCase("withdrawn key", UNAUTHORIZED, code = 1003, text = "not run") {
            withdraw(keys.withdrawn)
            chat(entries[0], keys.withdrawn, "ski-advice")
        },
        DemoCase("unknown route", NOT_FOUND, code = 1004) { chat(entries[0], keys.large, "no-such-route") },
        DemoCase("route of another account", FORBIDDEN, code = 1005) { chat(entries[0], keys.small, "roster-summary") },
        DemoCase("account over its rate", TOO_MANY, code = 2001, text = "not run") {
            repeat(2) { chat(entries[it], keys.small, "ski-advice") }
            chat(entries[0], keys.small, "ski-advice")
        },
    )

    private fun chat(entry: Address, key: String?, model: String, stream: Boolean = false): HttpReply {
        val body = """{"model":"$model","messages":[{"role":"user","content":"a lesson?"}],"max_tokens":64,"stream":$stream}"""
        return Caller.post(entry, "/v1/chat/completions", key, body)
    }

    private fun book(entry: Address): HttpReply =
        Caller.post(entry, "/services/bookings/lessons", keys.large, "{}", Header("Idempotency-Key", "demo-booking"))

    private companion object {
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val FORBIDDEN = 403
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val TOO_MANY = 429
    }
}

/** Waits for conditions in other processes. */
internal object Patience {
    private val limit = 20.seconds
    private const val POLL_MILLIS = 50L

    /** Tests [condition] until it holds, and tells whether it did in time. */
    fun until(condition: () -> Boolean): Boolean {
        val begin = TimeSource.Monotonic.markNow()
        while (begin.elapsedNow() < limit) {
            if (condition()) return true
            Thread.sleep(POLL_MILLIS)
        }
        return false
    }
}

/** The status of the answer; zero when there was none. */
internal fun HttpReply.status(): Int = (this as? HttpReply.Answered)?.status ?: 0

/** The number of models in an answered list of models. */
internal fun HttpReply.size(): Int = Regex("\"id\"").findAll((this as? HttpReply.Answered)?.text.orEmpty()).count()

/** Runs the demo: the product's jar, the stand-ins' jar, a directory for logs, the example tables, `--hold` or nothing. */
fun main(args: Array<String>) {
    val paths = args.filterNot { it.startsWith("--") }.map(Path::of)
    val demo = Demo(Launcher(paths[0], paths[1], paths[2]), paths[3])
    val good = try {
        if ("--hold" in args) demo.hold() else demo.run()
    } catch (e: IllegalStateException) {
        System.err.println(e.message)
        demo.kill()
        false
    }
    exitProcess(if (good) 0 else 1)
}
