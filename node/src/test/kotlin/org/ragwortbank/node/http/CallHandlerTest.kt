package org.ragwortbank.node.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpServerCodec
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.encodeToByteString
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.node.PendingWrites
import org.ragwortbank.node.metrics.BadInput
import org.ragwortbank.node.settings.HttpSettings
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Each caller gets its response in the framing that its version of HTTP knows. */
class CallHandlerTest {
    private val dispatcher = CallDispatcher(CallDecoder(defaultMaxTokens = 1), StreamingSink, PendingWrites())
    private val channel = EmbeddedChannel(HttpServerCodec(), CallHandler(HttpSettings(), dispatcher))

    // Guards against the framing of chunks in the body of a caller that doesn't know chunks.
    @Test
    fun `given a caller of HTTP 1 0, when a stream is written, then its body holds the stream alone and ends`() {
        val received = responseTo("GET /services/a/ HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        assertEquals("data: one\n\ndata: [DONE]\n\n", received.substringAfter("\r\n\r\n"))
        assertContains(received.lowercase(), "connection: close\r\n")
        assertFalse(channel.isOpen)
    }

    @Test
    fun `given a caller of HTTP 1 1, when a stream is written, then it is sent in chunks and the connection stays`() {
        val received = responseTo("GET /services/a/ HTTP/1.1\r\nHost: host\r\n\r\n")
        assertContains(received, "transfer-encoding: chunked\r\n")
        assertTrue(received.endsWith("\r\n0\r\n\r\n"), received)
        assertTrue(channel.isOpen)
    }

    private fun responseTo(request: String): String {
        channel.writeInbound(Unpooled.copiedBuffer(request, Charsets.US_ASCII))
        return generateSequence { channel.readOutbound<ByteBuf>() }
            .map { part -> part.toString(Charsets.UTF_8).also { part.release() } }
            .joinToString("")
    }

    /** Answers each call with a stream of one event. */
    private object StreamingSink : CallSink {
        override val configuration = Configuration()

        override fun nextRequestId() = RequestId(Incarnation("entry-1.a"), 1)

        override fun offerCall(call: Call, writer: ResponseWriter): Boolean {
            writer.writeHead(ResponseHead(OK, persistentListOf(), isStreamed = true))
            writer.writeChunk("one".encodeToByteString())
            writer.complete()
            return true
        }

        override fun onCallerDisconnected(request: RequestId) = Unit

        override fun onBadInput(kind: BadInput, refusal: Refusal) = Unit
    }

    private companion object {
        const val OK = 200
    }
}
