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
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A fleet of separate processes with the example tables applied and one API key of the large account. */
class TestFleet(plan: FleetPlan) : AutoCloseable {
    private val launcher = testLauncher("ragwortbank-test")

    val processes = Fleet(launcher, plan)
    val key: String

    init {
        assertEquals(0, runCommand("apply", "--routes=../examples/routes.toml", "--pools=../examples/pools.toml"))
        key = launcher.runCommand(listOf("keys", "give", "blue-hollow", "--kv=${processes.kvAddress}")).output
        assertTrue(Polling.until { processes.entries.all(::isServing) }, "not every entry is ready and accepts the key")
    }

    /** Runs an operator's command and returns its exit code. */
    fun runCommand(vararg arguments: String): Int {
        val addresses = listOf("--kv=${processes.kvAddress}", "--instances=${processes.instancesAddress}")
        return launcher.runCommand(arguments.toList() + addresses).exitCode
    }

    /** Whether [entry] is ready and accepts the key. */
    fun isServing(entry: ChildProcess): Boolean {
        val readiness = BlockingHttp.get(entry.address("admin"), "/ready") as? HttpReply.Answered
        val models = BlockingHttp.get(entry.address("http"), "/v1/models", key) as? HttpReply.Answered
        return readiness?.status == 200 && models != null && "ski-advice" in models.text
    }

    /** Runs [action] on another thread. */
    @OptIn(kotlinx.coroutines.DelicateCoroutinesApi::class)
    fun inBackground(action: () -> String): Deferred<String> = GlobalScope.async(Dispatchers.IO) { action() }

    /** Sends a streamed request in the background. */
    fun startStream(entry: Address): Deferred<String> = inBackground {
        val body = """{"model":"ski-advice","prompt":"a lesson?","max_tokens":$STREAM_TOKENS,"stream":true}"""
        textOf(BlockingHttp.post(entry, "/v1/completions", key, body))
    }

    /** Requests a short completion that is not streamed. */
    fun requestCompletion(entry: Address): HttpReply {
        val body = """{"model":"ski-advice","prompt":"a lesson?","max_tokens":8}"""
        return BlockingHttp.post(entry, "/v1/completions", key, body)
    }

    /** Sends a booking through [entry] that may run only once, with [idempotencyKey] as key and as body. */
    fun bookLesson(entry: Address, idempotencyKey: String): HttpReply {
        val keyHeader = Header("Idempotency-Key", idempotencyKey)
        return BlockingHttp.post(entry, "/services/bookings/lessons", key, idempotencyKey, keyHeader)
    }

    /** How often the booking service has received the booking [idempotencyKey]. */
    fun bookingCount(idempotencyKey: String): Int {
        val seenCalls = textOf(BlockingHttp.get(upstreamNamed("booking-1").address("address"), "/control/seen"))
        return Json.decodeFromString(ListSerializer(ReceivedCall.serializer()), seenCalls)
            .count { it.body == idempotencyKey }
    }

    /** Number of runs that all engines together have received. */
    fun startedRuns(): Int = processes.upstreams.filter { it.name.startsWith("engine") }.sumOf { engine ->
        Regex("\"request\"").findAll(textOf(BlockingHttp.get(engine.address("address"), "/control/seen"))).count()
    }

    fun upstreamNamed(name: String): ChildProcess = processes.upstreams.first { it.name == name }

    fun sidecarOf(name: String): ChildProcess = processes.sidecars.first { it.name == name }

    /** Sets the fault of the key-value service: `none`, `down` or `lose_answers`. */
    fun setKeyValueFault(fault: String) {
        BlockingHttp.send(processes.kvAddress, HttpCall("POST", "/control/$fault"))
    }

    override fun close() = processes.kill()

    companion object {
        const val STREAM_TOKENS = 60

        fun textOf(reply: HttpReply): String = (reply as? HttpReply.Answered)?.text ?: reply.toString()

        fun awaitResponses(streams: List<Deferred<String>>): List<String> = runBlocking { streams.awaitAll() }

        /** Whether [text] contains every chunk of a streamed response and its end marker. */
        fun isCompleteStream(text: String): Boolean =
            (0 until STREAM_TOKENS).all { ":$it \"" in text } && text.trimEnd().endsWith("[DONE]")
    }
}
