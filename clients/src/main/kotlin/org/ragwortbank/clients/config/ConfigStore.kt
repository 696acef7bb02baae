package org.ragwortbank.clients.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.kv.KeyValueStore
import org.ragwortbank.clients.kv.KvCondition
import org.ragwortbank.clients.kv.KvPut
import org.ragwortbank.clients.kv.KvResult
import org.ragwortbank.core.config.TableChange
import org.ragwortbank.core.config.checkConfiguration
import org.ragwortbank.core.config.with
import org.ragwortbank.core.model.Configuration

/**
 * The operators' tables in the key-value service.
 *
 * The tables are split into immutable chunks, stored under the hash of their content, and one root value names the
 * chunks of the current version. Only the root is ever replaced, by compare-and-swap, so all tables change together.
 */
class ConfigStore(private val store: KeyValueStore) {
    private val reader = ChunkReader(store)

    /** Reads the current version, which is zero when nothing has been written yet. */
    suspend fun read(): ConfigRead =
        when (val result = store.read(listOf(ROOT_KEY))) {
            is KvResult.Unanswered -> ConfigRead.Unavailable(result.cause)
            is KvResult.Answered -> reader.read(result.value[ROOT_KEY])
        }

    /**
     * Applies [changes] to version [base], in one write.
     *
     * @param id unique identifier of this change
     */
    suspend fun change(base: Long, changes: ImmutableList<TableChange>, id: String): ConfigWrite =
        when (val read = read()) {
            is ConfigRead.Unavailable -> ConfigWrite.Unavailable(read.cause)
            is ConfigRead.Found -> changeFrom(read, base, changes, id)
        }

    private suspend fun changeFrom(
        read: ConfigRead.Found,
        base: Long,
        changes: ImmutableList<TableChange>,
        id: String,
    ): ConfigWrite {
        val current = read.configuration
        val next = changes.fold(current) { tables, change -> tables.with(change) }.copy(version = current.version + 1)
        val problems = checkConfiguration(next)
        return when {
            current.version != base -> ConfigWrite.Conflict(base, current.version)
            problems.isNotEmpty() -> ConfigWrite.Invalid(problems)
            else -> write(read, next, id)
        }
    }

    private suspend fun write(read: ConfigRead.Found, next: Configuration, id: String): ConfigWrite {
        val chunks = ChunkSet.of(next)
        val storedNames = read.root.chunks.nonEmptyNames()
        val newChunks = chunks.texts.filterKeys { it !in storedNames }.map { (name, text) -> chunkPut(name, text) }
        val obsoleteChunkKeys = (storedNames - chunks.texts.keys).map(ChunkReader::chunkKey)
        val root = Root(next.version, chunks.names, (listOf(id) + read.root.changes).take(RETAINED_CHANGE_IDS))
        val failure = storeChunksBeforeRoot(newChunks)
        return when {
            failure != null -> ConfigWrite.Unavailable(failure)
            else -> {
                val chunksInSameCall = if (fitsOneCall(newChunks)) newChunks else emptyList()
                replaceRoot(read, next, id, RootChange(root, chunksInSameCall, obsoleteChunkKeys))
            }
        }
    }

    private suspend fun replaceRoot(
        read: ConfigRead.Found,
        next: Configuration,
        id: String,
        change: RootChange,
    ): ConfigWrite {
        val condition = listOf(KvCondition(ROOT_KEY, read.revision))
        val rootPut = KvPut(ROOT_KEY, Json.encodeToString(Root.serializer(), change.root))
        return when (val result = store.write(condition, change.newChunks + rootPut, change.obsoleteChunkKeys)) {
            is KvResult.Answered -> if (result.value) ConfigWrite.Stored(next) else resultAfterConflict(read, next, id)
            is KvResult.Unanswered -> findOwnChange(next, id, result.cause)
        }
    }

    /** Stores the chunks before the root, in several calls, if one would be too large; returns a failure's cause. */
    private suspend fun storeChunksBeforeRoot(newChunks: List<KvPut>): String? =
        when {
            fitsOneCall(newChunks) -> null
            else -> newChunks.chunked(ChunkReader.CHUNKS_PER_CALL).firstNotNullOfOrNull { storeChunks(it) }
        }

    private suspend fun storeChunks(part: List<KvPut>): String? =
        (store.write(emptyList(), part, emptyList()) as? KvResult.Unanswered)?.cause

    private fun fitsOneCall(newChunks: List<KvPut>): Boolean = newChunks.size <= ChunkReader.CHUNKS_PER_CALL

    private suspend fun resultAfterConflict(read: ConfigRead.Found, next: Configuration, id: String): ConfigWrite =
        when (val result = findOwnChange(next, id, "the root was changed by another operator")) {
            is ConfigWrite.Stored -> result
            else -> ConfigWrite.Conflict(read.configuration.version, null)
        }

    /** Finds out whether a write that got no response has taken effect. */
    private suspend fun findOwnChange(next: Configuration, id: String, cause: String): ConfigWrite =
        when (val read = read()) {
            is ConfigRead.Unavailable -> ConfigWrite.Unknown(cause)
            is ConfigRead.Found ->
                if (id in read.root.changes) ConfigWrite.Stored(next) else ConfigWrite.Unavailable(cause)
        }

    private data class RootChange(val root: Root, val newChunks: List<KvPut>, val obsoleteChunkKeys: List<String>)

    companion object {
        /** Key prefix that all entries watch; a change below it makes them read again. */
        const val WATCHED_PREFIX: String = "ragwortbank/live/"

        /** The key of the root. */
        const val ROOT_KEY: String = WATCHED_PREFIX + "root"

        private const val RETAINED_CHANGE_IDS = 64

        private fun chunkPut(name: String, text: String): KvPut = KvPut(ChunkReader.chunkKey(name), text)
    }
}
