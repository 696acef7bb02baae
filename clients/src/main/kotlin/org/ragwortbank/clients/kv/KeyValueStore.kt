package org.ragwortbank.clients.kv

/** The platform's key-value service. */
interface KeyValueStore {
    /** Reads the values of [keys] in one call. */
    suspend fun read(keys: List<String>): KvResult<Map<String, KvEntry>>

    /** Performs [puts] and [deletes] in one transaction if all of [conditions] hold; returns whether they did. */
    suspend fun write(conditions: List<KvCondition>, puts: List<KvPut>, deletes: List<String>): KvResult<Boolean>

    /** Reports each change below [prefix] to [listener] until the returned handle is closed. */
    fun watch(prefix: String, listener: KvWatchListener): AutoCloseable
}
