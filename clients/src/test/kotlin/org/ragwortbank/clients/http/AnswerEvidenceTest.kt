package org.ragwortbank.clients.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import org.ragwortbank.core.model.Header
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Guards against a late second answer that comes after the next call was sent, and before its answer. */
class AnswerEvidenceTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)

    @AfterTest
    fun stop() {
        group.shutdownGracefully()
    }

    private fun fetch(server: ScriptedServer, call: HttpCall): HttpReply =
        runBlocking { client.fetch(server.address, call, TIMEOUT) }

    private fun markedCall(id: String) = HttpCall("GET", "/", echoedField = Header(ID_FIELD, id))

    private fun ScriptedConnection.answerEach(answer: (id: String) -> String) =
        generateSequence { readRequest() }.forEach { request ->
            write(answer(Regex("$ID_FIELD: (\\w+)").find(request)?.groupValues?.get(1).orEmpty()))
        }

    private fun assertCallsGetTheirAnswers(server: ScriptedServer) =
        (1..CALLS).map { "c$it" }.forEach { id ->
            assertEquals(id, assertIs<HttpReply.Answered>(fetch(server, markedCall(id))).text)
        }

    @Test
    fun `given a second answer before the answer to the next call, then it is refused by the id it bears`() {
        val server = ScriptedServer {
            readRequest()
            write(answer("first", 200, "$ID_FIELD: c1"))
            readRequest()
            write(answer("stray", 200, "$ID_FIELD: c1"))
            writeLater(answer("second", 503, "$ID_FIELD: c2"))
        }
        server.use {
            assertEquals("first", assertIs<HttpReply.Answered>(fetch(server, markedCall("c1"))).text)
            assertIs<HttpReply.Failed>(fetch(server, markedCall("c2")))
        }
    }

    @Test
    fun `given a server that repeats the id, then its connection is kept`() {
        val server = ScriptedServer { answerEach { id -> answer(id, 200, "$ID_FIELD: $id") } }
        server.use {
            assertCallsGetTheirAnswers(it)
            assertEquals(1, server.connections)
        }
    }

    @Test
    fun `given a server that repeats no id, then each call is answered on a connection of its own`() {
        val server = ScriptedServer { answerEach { id -> answer(id) } }
        server.use {
            assertCallsGetTheirAnswers(it)
            assertEquals(CALLS, server.connections)
        }
    }

    @Test
    fun `given a kept connection, when a call needs a new one, then a second answer on the other does not meet it`() {
        val server = ScriptedServer {
            readRequest()
            write(answer("own"))
            readRequest()
            write(answer("stray"))
        }
        server.use {
            assertEquals("own", assertIs<HttpReply.Answered>(fetch(server, HttpCall.get("/"))).text)
            val order = HttpCall("POST", "/", needsNewConnection = true)
            assertEquals("own", assertIs<HttpReply.Answered>(fetch(server, order)).text)
            assertEquals("own", assertIs<HttpReply.Answered>(fetch(server, order)).text)
        }
    }

    private companion object {
        const val ID_FIELD = "X-Call-Id"
        const val CALLS = 3
        val TIMEOUT = 3.seconds
    }
}
