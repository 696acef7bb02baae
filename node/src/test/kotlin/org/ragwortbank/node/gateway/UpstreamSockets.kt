package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.ProcessEventLoop
import org.ragwortbank.node.port.RequestDialect
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val READ_BUFFER_BYTES = 4_096

/** An event loop with its connections to one upstream, which the test scripts on the sockets that [server] accepts. */
internal class UpstreamSockets(
    dialect: RequestDialect = IdDialect,
    backlog: Int = 1,
    observer: ConnectionObserver = IgnoringConnectionObserver,
) : AutoCloseable {
    val process = ProcessEventLoop()
    val server = ServerSocket(0, backlog, InetAddress.getLoopbackAddress())

    /** Upstreams that have closed idle connections. */
    val idleClosed = LinkedBlockingQueue<Endpoint>()
    val connections =
        UpstreamConnections(process.loop, dialect, 2.seconds, observer, idleClosed::add) {
            Timestamp(System.nanoTime())
        }
    val endpoint = Endpoint(server.inetAddress.hostAddress, server.localPort)

    /** Sends [request] with [id] to the upstream; not to be called on the loop. */
    fun send(id: String, listener: AttemptListener): UpstreamExchange {
        val exchange = AtomicReference<UpstreamExchange>()
        process.run { exchange.set(connections.send(endpoint, id, request(), listener)) }
        return exchange.get()
    }

    fun request() = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")

    /** The first attempt at request [number], at this upstream. */
    fun attempt(number: RequestNumber) = UpstreamAttempt(
        number = number,
        attemptNumber = 1,
        upstream = UpstreamId("u1"),
        startedMillis = 0,
        endpoint = endpoint,
        account = null,
        priority = 0,
        adapterVersion = null,
        deadline = Timestamp(0),
    )

    override fun close() {
        server.close()
        process.terminateAfterFlush()
        process.awaitTermination()
    }
}

/** Reads a request, which is short enough to arrive at once. */
internal fun Socket.readRequest() = assertTrue(getInputStream().read(ByteArray(READ_BUFFER_BYTES)) > 0)

internal fun Socket.write(text: String) = getOutputStream().run {
    write(text.encodeToByteArray())
    flush()
}

/** Reads a request, and writes [text]. */
internal fun Socket.answer(text: String) {
    readRequest()
    write(text)
}

internal object IgnoringListener : AttemptListener {
    override fun onNotSent(cause: String) = Unit

    override fun onHead(response: HttpResponse) = Unit

    override fun onContent(content: ByteBuf) = Unit

    override fun onComplete() = Unit

    override fun onFailure(cause: AttemptFailure) = Unit
}

/** Adds to [outcomes] how an exchange has ended. */
internal class OutcomeListener(
    private val outcomes: LinkedBlockingQueue<String>,
) : AttemptListener by IgnoringListener {
    override fun onNotSent(cause: String) = record("not sent: $cause")

    override fun onComplete() = record("completed")

    override fun onFailure(cause: AttemptFailure) = record("failed: ${cause.detail}")

    private fun record(outcome: String) {
        outcomes.add(outcome)
    }
}
