package org.ragwortbank.cli.command

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import org.ragwortbank.clients.config.ConfigStore
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.kv.EtcdKeyValueStore
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Provides clients of the platform's services for the duration of one command. */
internal object PlatformClients {
    /** Time limit for one call. */
    val CALL_TIMEOUT = 3.seconds

    /** Runs [block] with the store of the tables in the key-value service at [address]. */
    fun <T> withConfigStore(address: Address, block: suspend (ConfigStore) -> T): T =
        withHttpClient { client -> block(ConfigStore(EtcdKeyValueStore(client, address, CALL_TIMEOUT))) }

    /** Runs [block] with an HTTP client. */
    fun <T> withHttpClient(block: suspend (HttpClient) -> T): T {
        val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        return try {
            HttpClient(eventLoopGroup, CALL_TIMEOUT).use { client -> runBlocking { block(client) } }
        } finally {
            eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }
    }
}
