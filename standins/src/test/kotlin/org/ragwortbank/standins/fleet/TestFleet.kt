package org.ragwortbank.standins.fleet

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.GlobalScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.service.ReceivedCall
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A fleet of real processes with the example tables in force and one key of the large account. */
class TestFleet(plan: FleetPlan) : AutoCloseable {
    private val launcher = Launcher(
        productJar = Path.of("..", "cli", "target", "cli-0.1.0-all.jar"),
        standInsJar = Path.of("target", "classes"),
        directory = Files.createTempDirectory("ragwortbank-test"),
    )

    val fleet = Fleet(launcher, plan)
    val key: String

    init {
        assertEquals(0, command("apply", "--routes=../examples/routes.toml", "--pools=../examples/pools.toml"))
        key = launcher.command(listOf("keys", "give", "blue-hollow", "--kv=${fleet.kvAddress}")).output
        assertTrue(Patience.until { fleet.entries.all(::serves) }, "the fleet does not serve")
    }

    /** Runs an operator's command and returns its exit code. */
    fun command(vararg arguments: String): Int {
        val places = listOf("--kv=${fleet.kvAddress}", "--instances=${fleet.instancesAddress}")
        return launcher.command(arguments.toList() + places).exitCode
    }

    /** Whether [entry] is ready and knows the key. */
    fun serves(entry: Child): Boolean {
        val ready = Caller.get(entry.address("admin"), "/ready") as? HttpReply.Answered
        val models = Caller.get(entry.address("http"), "/v1/models", key) as? HttpReply.Answered
        return ready?.status == 200 && models != null && "ski-advice" in models.text
    }

    /** Does [action] on another thread. */
    @OptIn(kotlinx.coroutines.DelicateCoroutinesApi::class)
    fun inBackground(action: () -> String): Deferred<String> = GlobalScope.async(Dispatchers.IO) { action() }

    /** Sends a streamed request in the background. */
    fun stream(entry: Address): Deferred<String> = inBackground {
        val body = """{"model":"ski-advice","prompt":"a lesson?","max_tokens":$STREAM_TOKENS,"stream":true}"""
        text(Caller.post(entry, "/v1/completions", key, body))
    }

    /** Asks for a short completion. */
    fun completion(entry: Address): HttpReply =
        Caller.post(entry, "/v1/completions", key, """{"model":"ski-advice","prompt":"a lesson?","max_tokens":8}""")

    /** Books through [entry], in a way that may run only once. */
    fun book(entry: Address, idempotencyKey: String): HttpReply {
        val mark = Header("Idempotency-Key", idempotencyKey)
        return Caller.post(entry, "/services/bookings/lessons", key, idempotencyKey, mark)
    }

    /** How often the booking service has seen the booking [idempotencyKey]. */
    fun bookings(idempotencyKey: String): Int {
        val seen = text(Caller.get(upstream("booking-1").address("address"), "/control/seen"))
        return Json.decodeFromString(ListSerializer(ReceivedCall.serializer()), seen)
            .count { it.body == idempotencyKey }
    }

    /** Runs that both engines have seen. */
    fun runs(): Int = fleet.upstreams.filter { it.name.startsWith("engine") }.sumOf { engine ->
        Regex("\"request\"").findAll(text(Caller.get(engine.address("address"), "/control/seen"))).count()
    }

    fun upstream(name: String): Child = fleet.upstreams.first { it.name == name }

    fun sidecar(name: String): Child = fleet.sidecars.first { it.name == name }

    /** Makes the key-value service work, fail or lose its answers. */
    fun keyValueFault(fault: String) {
        Caller.blocking(fleet.kvAddress, HttpCall("POST", "/control/$fault"))
    }

    override fun close() = fleet.kill()

    companion object {
        const val STREAM_TOKENS = 60

        fun text(reply: HttpReply): String = (reply as? HttpReply.Answered)?.text ?: reply.toString()

        fun awaitAnswers(streams: List<Deferred<String>>): List<String> = runBlocking { streams.awaitAll() }

        /** Whether [text] holds every piece of a streamed answer and its end mark. */
        fun isWhole(text: String): Boolean =
            (0 until STREAM_TOKENS).all { ":$it \"" in text } && text.trimEnd().endsWith("[DONE]")
    }
}
