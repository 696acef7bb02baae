package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.ragwortbank.core.gateway.CancelCause
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.metrics.NodeMetrics
import org.ragwortbank.node.port.RequestDialect
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class RequestRegistryTest {
    private val sockets = UpstreamSockets(PathDialect)
    private val process = sockets.process
    private val server = sockets.server
    private val inputs = LinkedBlockingQueue<GatewayInput>()
    private val lines = LinkedBlockingQueue<LogLine>()
    private val registry =
        RequestRegistry(PathDialect, sockets.connections, NodeMetrics(), { Timestamp(0) }, lines::add, inputs::add)

    @AfterTest
    fun stop() = sockets.close()

    // Guards against a cancelled attempt whose connection can't be told from the log.
    @Test
    fun `given an attempt without an answer, when it is cancelled, then one line tells why and on which connection`() {
        val number = RequestNumber(1)
        process.run {
            registry.onRequest(CallerRequest(request(), ByteArray(0)), IgnoringSink)
            registry.send(sockets.attempt(number))
        }
        server.accept().use { upstream ->
            upstream.readRequest()
            val cancel = GatewayEffect.CancelAttempt(number, 1, CancelCause.DEADLINE)
            process.run {
                registry.perform(cancel)
                registry.perform(cancel)
            }
            val text = "request r1 cancelled at u1: the deadline passed; " +
                "attempt 1, connection 1 after 0 exchanges, no answer read"
            assertEquals(text, lines.poll(LINE_SECONDS, TimeUnit.SECONDS)?.message)
            assertEquals(0, lines.size)
        }
    }

    private fun request() = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/r1")

    /** Takes the path of a request for its id. */
    private object PathDialect : RequestDialect by IdDialect {
        override fun decode(request: HttpRequest) =
            ServingCall(id = request.uri().removePrefix("/"), host = "host", path = request.uri())
    }

    private object IgnoringSink : AnswerSink {
        override val isWritable = true

        override fun onWritabilityChange(action: () -> Unit) = Unit

        override fun writeHead(response: HttpResponse) = Unit

        override fun writeContent(content: ByteBuf) {
            content.release()
        }

        override fun complete() = Unit

        override fun abort() = Unit

        override fun writeRefusal(refusal: Refusal) = Unit
    }

    private companion object {
        const val LINE_SECONDS = 5L
    }
}
