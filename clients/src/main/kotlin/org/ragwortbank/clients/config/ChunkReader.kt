package org.ragwortbank.clients.config

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.kv.KeyValueStore
import org.ragwortbank.clients.kv.KvEntry
import org.ragwortbank.clients.kv.KvResult
import org.ragwortbank.core.model.Configuration
import java.util.concurrent.atomic.AtomicReference

/** Reads the chunks that a root names; chunks of the previous read are cached and not fetched again. */
internal class ChunkReader(private val store: KeyValueStore) {
    private val cache = AtomicReference<PersistentMap<String, Chunk>>(persistentMapOf())

    /** The tables under the root in [entry]; version zero when there is no root yet. */
    suspend fun read(entry: KvEntry?): ConfigRead =
        when (entry) {
            null -> ConfigRead.Found(Configuration(), Root(0), 0)
            else -> decode(entry.value, Root.serializer())?.let { assemble(it, entry.revision) } ?: MALFORMED_ROOT
        }

    private suspend fun assemble(root: Root, revision: Long): ConfigRead {
        val required = root.chunks.nonEmptyNames()
        val cached = cache.get().filterKeys { it in required }
        val all = cached + fetch(required.filter { it !in cached })
        if (all.size < required.size) return ConfigRead.Unavailable("${required.size - all.size} chunks are missing")
        cache.set(all.toPersistentMap())
        return ConfigRead.Found(configurationOf(root.version, all.values), root, revision)
    }

    private suspend fun fetch(names: List<String>): Map<String, Chunk> =
        names.chunked(CHUNKS_PER_CALL).fold(emptyMap()) { found, part -> found + fetchInOneCall(part) }

    private suspend fun fetchInOneCall(names: List<String>): Map<String, Chunk> =
        when (val result = store.read(names.map(::chunkKey))) {
            is KvResult.Unanswered -> emptyMap()
            is KvResult.Answered -> result.value.values.mapNotNull { byContentHash(it.value) }.toMap()
        }

    /** Pairs a chunk with the hash of its text, so that a corrupted one is not taken for the requested one. */
    private fun byContentHash(text: String): Pair<String, Chunk>? =
        decode(text, Chunk.serializer())?.let { ChunkSet.nameOf(text) to it }

    private fun <T> decode(text: String, serializer: KSerializer<T>): T? =
        try {
            Json.decodeFromString(serializer, text)
        } catch (_: SerializationException) {
            null
        }

    companion object {
        /** Chunks read or written in one call, so that a call stays well below the service's largest request. */
        const val CHUNKS_PER_CALL: Int = 32

        private val MALFORMED_ROOT = ConfigRead.Unavailable("the root is malformed")

        /** The key under which the chunk [name] is stored. */
        fun chunkKey(name: String): String = "ragwortbank/chunks/$name"
    }
}
