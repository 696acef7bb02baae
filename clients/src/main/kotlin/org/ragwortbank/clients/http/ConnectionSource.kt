package org.ragwortbank.clients.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.pool.ChannelPool
import io.netty.util.concurrent.Future

/** Where a call gets its connection, and what becomes of that after the call. */
internal interface ConnectionSource {
    /** Passes a connection to [onAcquired], or null and why there is none. */
    fun acquire(onAcquired: (Channel?, Throwable?) -> Unit)

    /** Takes back [connection], which may be closed. */
    fun release(connection: Channel)
}

/** Connections that are kept for later calls. */
internal class KeptConnections(private val pool: ChannelPool) : ConnectionSource {
    override fun acquire(onAcquired: (Channel?, Throwable?) -> Unit) {
        pool.acquire().addListener { future: Future<in Channel> ->
            onAcquired(if (future.isSuccess) future.now as Channel else null, future.cause())
        }
    }

    override fun release(connection: Channel) {
        pool.release(connection)
    }
}

/** A new connection for each call, closed after it: what arrives on it belongs to this call. */
internal class NewConnections(private val bootstrap: Bootstrap) : ConnectionSource {
    override fun acquire(onAcquired: (Channel?, Throwable?) -> Unit) {
        bootstrap.connect().addListener { future ->
            val connection = (future as ChannelFuture).channel()
            onAcquired(connection.takeIf { future.isSuccess }, future.cause())
        }
    }

    override fun release(connection: Channel) {
        connection.close()
    }
}
