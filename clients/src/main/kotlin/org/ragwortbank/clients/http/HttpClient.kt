package org.ragwortbank.clients.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.pool.AbstractChannelPoolHandler
import io.netty.channel.pool.AbstractChannelPoolMap
import io.netty.channel.pool.ChannelPool
import io.netty.channel.pool.SimpleChannelPool
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.coroutines.resume
import kotlin.time.Duration

/** An HTTP/1.1 client that keeps connections open between calls. */
class HttpClient(group: EventLoopGroup, connectTimeout: Duration) : AutoCloseable {
    private val bootstrap: Bootstrap = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
        .handler(UnaskedBytesHandler)

    private val pools = object : AbstractChannelPoolMap<Address, ChannelPool>() {
        override fun newPool(key: Address): ChannelPool = SimpleChannelPool(bootstrapTo(key), PoolInitializer)
    }

    /** Sends [call] and reports the response to [listener]; closing the returned handle cancels the call. */
    fun open(address: Address, call: HttpCall, listener: HttpListener): AutoCloseable {
        val connections =
            if (call.needsNewConnection) NewConnections(bootstrapTo(address)) else KeptConnections(pools[address])
        val exchange = Exchange(connections, address, call, listener)
        exchange.start()
        return exchange
    }

    override fun close() = pools.close()

    private fun bootstrapTo(address: Address): Bootstrap =
        bootstrap.clone().remoteAddress(InetSocketAddress(address.host, address.port))

    private object PoolInitializer : AbstractChannelPoolHandler() {
        override fun channelCreated(ch: Channel) {
            ch.pipeline().addLast(UnaskedBytesHandler)
        }
    }

    private class Exchange(
        private val connections: ConnectionSource,
        private val address: Address,
        private val call: HttpCall,
        private val listener: HttpListener,
    ) : AutoCloseable {
        private val cancelled = AtomicBoolean(false)
        private val channel = AtomicReference<Channel?>(null)

        fun start() = connections.acquire(::onAcquired)

        override fun close() {
            cancelled.set(true)
            channel.get()?.close()
        }

        private fun onAcquired(connection: Channel?, cause: Throwable?) {
            when {
                connection == null -> listener.onFailure(wasConnected = false, cause?.message ?: "no connection")
                cancelled.get() -> releaseCancelled(connection)
                else -> send(connection)
            }
        }

        private fun releaseCancelled(connection: Channel) {
            connections.release(connection)
            listener.onFailure(wasConnected = false, "cancelled")
        }

        /** No read comes between decoder and request, so that what is decoded arrived after the call was taken up. */
        private fun send(connection: Channel) {
            channel.set(connection)
            connection.eventLoop().execute { sendOnLoop(connection) }
        }

        private fun sendOnLoop(connection: Channel) {
            val isReused = connection.attr(HAS_CARRIED_REQUEST).getAndSet(true) ?: false
            val codec = ExchangeCodec(HttpMethod.valueOf(call.method))
            val evidence = AnswerEvidence(call.echoedField, isReused)
            val handler = ResponseHandler(listener, codec, evidence) { connections.release(connection) }
            connection.pipeline().addFirst(handler)
            codec.addBefore(handler, connection.pipeline())
            connection.writeAndFlush(httpRequest()).addListener { write ->
                if (!write.isSuccess) handler.onWriteFailed(connection, write.cause())
            }
            if (cancelled.get()) connection.close()
        }

        private fun httpRequest(): DefaultFullHttpRequest {
            val body = Unpooled.wrappedBuffer(call.body)
            val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.path, body)
            message.headers().set(HttpHeaderNames.HOST, address.toString())
            call.headers.groupBy({ it.name }, { it.value }).forEach { (name, values) ->
                message.headers().set(name, values)
            }
            call.echoedField?.let { message.headers().set(it.name, it.value) }
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
            return message
        }
    }
}

/** Sends [call] and waits for the complete response, for at most [timeout]. */
suspend fun HttpClient.fetch(address: Address, call: HttpCall, timeout: Duration): HttpReply =
    withTimeoutOrNull(timeout) {
        suspendCancellableCoroutine { continuation ->
            val collector = ResponseCollector { reply -> if (continuation.isActive) continuation.resume(reply) }
            val exchange = open(address, call, collector)
            continuation.invokeOnCancellation { exchange.close() }
        }
    } ?: HttpReply.Failed(wasConnected = true, "no answer within $timeout")

/** Sends [call] and calls [done] exactly once on [loop], with the response or with a failure after [timeout]. */
fun HttpClient.request(
    loop: EventLoop,
    address: Address,
    call: HttpCall,
    timeout: Duration,
    done: (HttpReply) -> Unit,
) {
    val isCompleted = AtomicBoolean(false)
    val completeOnce = { reply: HttpReply -> if (isCompleted.compareAndSet(false, true)) loop.execute { done(reply) } }
    val exchange = open(address, call, ResponseCollector { completeOnce(it) })
    loop.schedule(
        {
            if (!isCompleted.get()) exchange.close()
            completeOnce(HttpReply.Failed(wasConnected = true, "no answer within $timeout"))
        },
        timeout.inWholeMilliseconds,
        TimeUnit.MILLISECONDS,
    )
}
