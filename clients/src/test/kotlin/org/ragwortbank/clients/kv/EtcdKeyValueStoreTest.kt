package org.ragwortbank.clients.kv

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.http.ScriptedServer
import org.ragwortbank.clients.http.answer
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class EtcdKeyValueStoreTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)

    @AfterTest
    fun stop() {
        group.shutdownGracefully()
    }

    // Guards against a conditional write that counts as done by the answer to an earlier one.
    @Test
    fun `given an answer that comes twice, when a write is refused next, then it does not count as done`() {
        val done = answer("""{"succeeded":true}""")
        val server = ScriptedServer {
            readRequest()
            if (number > 1) return@ScriptedServer write(answer("{}"))
            write(done)
            readRequest()
            write(done)
        }
        server.use {
            val store = EtcdKeyValueStore(client, server.address, TIMEOUT)
            val condition = listOf(KvCondition("k", 0))
            val write = { runBlocking { store.write(condition, listOf(KvPut("k", "v")), emptyList()) } }
            assertEquals(KvResult.Answered(true), write())
            assertEquals(KvResult.Answered(false), write())
        }
    }

    // Guards against a key that counts as missing by the answer to an earlier write.
    @Test
    fun `given an answer that comes twice, when a key is read next, then the key is found`() {
        val done = answer("""{"succeeded":true,"responses":[{}]}""")
        val found = """{"succeeded":true,"responses":[{"response_range":{"kvs":[{"key":"aw==","value":"dg=="}]}}]}"""
        val server = ScriptedServer {
            readRequest()
            if (number > 1) return@ScriptedServer write(answer(found))
            write(done)
            readRequest()
            write(done)
        }
        server.use {
            val store = EtcdKeyValueStore(client, server.address, TIMEOUT)
            runBlocking {
                store.write(emptyList(), listOf(KvPut("k", "v")), emptyList())
                assertEquals(KvResult.Answered(mapOf("k" to KvEntry("v", 0))), store.read(listOf("k")))
            }
        }
    }

    private companion object {
        val TIMEOUT = 3.seconds
    }
}
