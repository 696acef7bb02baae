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

/** Clients for one run of a command. */
internal object Platform {
    /** Longest wait for one answer. */
    val TIMEOUT = 3.seconds

    /** Runs [block] with the operators' tables in the service at [address]. */
    fun <T> withConfig(address: Address, block: suspend (ConfigStore) -> T): T =
        withClient { client -> block(ConfigStore(EtcdKeyValueStore(client, address, TIMEOUT))) }

    /** Runs [block] with an HTTP client. */
    fun <T> withClient(block: suspend (HttpClient) -> T): T {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        return try {
            HttpClient(group, TIMEOUT).use { client -> runBlocking { block(client) } }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }
    }
}
