package org.ragwortbank.clients.instances

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.clients.http.fetch
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.Instance
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** Reads the instance list over HTTP, with `If-None-Match`, so that an unchanged list is not transferred again. */
class HttpInstanceList(
    private val client: HttpClient,
    private val address: Address,
    private val timeout: Duration,
) : InstanceList {
    private val cache = AtomicReference<CachedList?>(null)

    override suspend fun read(): PersistentList<Instance>? {
        val cached = cache.get()
        val headers = cached?.let { persistentListOf(Header("If-None-Match", it.etag)) } ?: persistentListOf()
        return when (val reply = client.fetch(address, HttpCall("GET", "/instances", headers), timeout)) {
            is HttpReply.Failed -> null
            is HttpReply.Answered -> if (reply.status == NOT_MODIFIED) cached?.instances else decode(reply)
        }
    }

    private fun decode(reply: HttpReply.Answered): PersistentList<Instance>? =
        try {
            val document = Json.decodeFromString(InstancesDocument.serializer(), reply.text)
            val instances = document.instances.mapNotNull { it.toInstance() }.toPersistentList()
            cache.set(CachedList(reply.head.header("ETag").orEmpty(), instances))
            instances
        } catch (_: SerializationException) {
            null
        }

    private data class CachedList(val etag: String, val instances: PersistentList<Instance>)

    private companion object {
        const val NOT_MODIFIED = 304
    }
}
