package org.ragwortbank.clients.upstream

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.encodeToByteString
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.http.ScriptedConnection
import org.ragwortbank.clients.http.ScriptedServer
import org.ragwortbank.clients.http.answer
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.GenerationApi
import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.sidecar.LoadFailure
import org.ragwortbank.core.sidecar.RunFailure
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.time.Duration.Companion.seconds

/** Guards against the answer of one run, written once more, that a sidecar relays as the answer of the next run. */
class SecondRunAnswerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)
    private val adapter = AdapterRef("fern", "1")

    @AfterTest
    fun stop() {
        group.shutdownGracefully()
    }

    private fun engine(server: ScriptedServer) = EngineClient(client, server.address, "/weights/", TIMEOUT, TIMEOUT)

    /** Runs [work] and returns the text of a complete answer, or the failure. */
    private fun run(upstream: UpstreamClient, number: Long, work: Work, adapter: AdapterRef?): Any = runBlocking {
        val run = RunId(RequestId(Incarnation("1"), number), 1)
        val command = SidecarCommand.Dispatch(run, AccountId("a"), RouteName("r"), adapter, isIdempotent = true, work)
        val outcome = OutcomeListener()
        upstream.run(command, outcome)
        withTimeout(TIMEOUT) { outcome.result.await() }
    }

    private fun completion(text: String) = """{"model":"fern@1","choices":[{"text":"$text"}]}"""

    private fun generation() =
        Work.Generation(
            api = GenerationApi.COMPLETIONS,
            isStreamed = false,
            promptTokens = 1,
            maxTokens = 1,
            includeUsage = false,
            body = """{"model":"x","prompt":"p"}""".encodeToByteString(),
        )

    private fun serviceCall() = Work.ServiceCall("GET", "/page", persistentListOf(), ByteString())

    /** Answers each request with [body] and its number; the first one again when the next answer is expected. */
    private fun ScriptedConnection.stutter(fields: (String) -> Array<String>, body: (Int) -> String) {
        val first = readRequest()
        write(answer(body(number), OK, *fields(first)))
        val second = readRequest()
        write(answer(body(number), OK, *fields(first)))
        writeLater(answer(body(-1), FAILURE, *fields(second)))
    }

    private fun repeatedId(request: String): Array<String> =
        arrayOf("X-Request-Id: " + Regex("X-Request-Id: (\\S+)").find(request)?.groupValues?.get(1))

    @Test
    fun `given an engine that repeats ids, when an answer comes twice, then the next run fails`() {
        ScriptedServer { stutter(::repeatedId) { completion("of $it") } }.use { server ->
            val upstream = engine(server)
            assertEquals(completion("of 1"), run(upstream, 1, generation(), adapter))
            assertEquals(RunFailure.BrokenResponse::class, run(upstream, 2, generation(), adapter)::class)
        }
    }

    @Test
    fun `given an engine that repeats no ids, when an answer comes twice, then the next run gets its own`() {
        ScriptedServer { stutter({ emptyArray() }) { completion("of $it") } }.use { server ->
            val upstream = engine(server)
            assertEquals(completion("of 1"), run(upstream, 1, generation(), adapter))
            assertEquals(completion("of 2"), run(upstream, 2, generation(), adapter))
        }
    }

    @Test
    fun `given a service, when an answer comes twice, then the next run gets its own`() {
        ScriptedServer { stutter({ emptyArray() }) { "of $it" } }.use { server ->
            val upstream = ServiceClient(client, server.address, TIMEOUT)
            assertEquals("of 1", run(upstream, 1, serviceCall(), adapter = null))
            assertEquals("of 2", run(upstream, 2, serviceCall(), adapter = null))
        }
    }

    @Test
    fun `given an answer that comes twice, when an adapter is loaded next, then it does not count as loaded`() {
        val server = ScriptedServer {
            val first = readRequest()
            if ("load_lora" in first) return@ScriptedServer write(answer("no", FAILURE))
            write(answer("""{"data":[]}"""))
            readRequest()
            write(answer("""{"data":[]}"""))
        }
        server.use {
            val upstream = engine(server)
            runBlocking {
                assertNotEquals(null, upstream.residentAdapters())
                assertEquals(LoadFailure.REFUSED, upstream.load(adapter, fencingToken = 1))
            }
        }
    }

    private class OutcomeListener : RunListener {
        val result = CompletableDeferred<Any>()
        private val text = StringBuilder()

        override fun onHead(head: ResponseHead) = Unit

        override fun onOutput(tokens: Long, data: ByteString) {
            text.append(data.toByteArray().decodeToString())
        }

        override fun onCompleted(usage: Usage?) {
            result.complete(text.toString())
        }

        override fun onFailed(failure: RunFailure) {
            result.complete(failure)
        }
    }

    private companion object {
        const val OK = 200
        const val FAILURE = 500
        val TIMEOUT = 3.seconds
    }
}
