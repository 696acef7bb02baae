package org.ragwortbank.clients.config

import kotlinx.serialization.json.Json
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.model.Configuration
import java.security.MessageDigest
import java.util.HexFormat

/** Splits a configuration into chunks named by the hash of their content, so that unchanged chunks keep their names. */
internal class ChunkSet private constructor(val names: ChunkNames, val texts: Map<String, String>) {
    companion object {
        private const val ROWS_PER_CHUNK = 64
        private const val NAME_DIGITS = 32

        /** The chunks of [configuration]. */
        fun of(configuration: Configuration): ChunkSet {
            val routes = chunk(configuration.routes.values.map { it.toRow() }, { it.name }) { Chunk(routes = it) }
            val pools = chunk(configuration.pools.values.map { it.toRow() }, { it.name }) { Chunk(pools = it) }
            val accounts = chunk(configuration.accounts.values.map { it.toRow() }, { it.name }) { Chunk(accounts = it) }
            val keys = chunk(configuration.keys.values.map { it.toRow() }, { it.hash }) { Chunk(keys = it) }
            val names = ChunkNames(
                routes = routes.map { it.name },
                pools = pools.map { it.name },
                accounts = accounts.map { it.name },
                keys = keys.map { it.name },
            )
            val all = routes + pools + accounts + keys
            return ChunkSet(names, all.filter { it.name.isNotEmpty() }.associate { it.name to it.text })
        }

        private fun <R> chunk(rows: List<R>, key: (R) -> String, wrap: (List<R>) -> Chunk): List<NamedChunk> {
            val count = chunkCount(rows.size)
            val rowsByChunk = rows.groupBy { chunkIndex(key(it), count) }
            return (0 until count).map { index -> toChunk(rowsByChunk[index].orEmpty().sortedBy(key), wrap) }
        }

        private fun <R> toChunk(rows: List<R>, wrap: (List<R>) -> Chunk): NamedChunk {
            if (rows.isEmpty()) return NamedChunk("", "")
            val text = Json.encodeToString(Chunk.serializer(), wrap(rows))
            return NamedChunk(nameOf(text), text)
        }

        /** The smallest power of two with at most [ROWS_PER_CHUNK] rows per chunk on average. */
        private fun chunkCount(rows: Int): Int =
            generateSequence(1) { it * 2 }.first { it * ROWS_PER_CHUNK >= rows }

        private fun chunkIndex(key: String, count: Int): Int = (RendezvousHash.hashOf(key) and (count - 1L)).toInt()

        /** The name of a chunk with the content [text]. */
        fun nameOf(text: String): String {
            val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
            return HexFormat.of().formatHex(digest).take(NAME_DIGITS)
        }
    }

    private data class NamedChunk(val name: String, val text: String)
}
