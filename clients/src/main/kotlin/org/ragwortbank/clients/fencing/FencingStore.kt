package org.ragwortbank.clients.fencing

import org.ragwortbank.clients.kv.KeyValueStore
import org.ragwortbank.clients.kv.KvCondition
import org.ragwortbank.clients.kv.KvPut
import org.ragwortbank.clients.kv.KvResult
import org.ragwortbank.core.model.InstanceName

/** Issues fencing tokens for the commands to an upstream; each is issued once and is higher than all earlier ones. */
class FencingStore(private val store: KeyValueStore) {
    /** Takes the next token for [upstream]; null when the service did not answer or another writer came first. */
    suspend fun take(upstream: InstanceName): Long? {
        val key = "ragwortbank/fencing/$upstream"
        val present = (store.read(listOf(key)) as? KvResult.Answered)?.value ?: return null
        val next = (present[key]?.value?.toLongOrNull() ?: 0) + 1
        val condition = KvCondition(key, present[key]?.revision ?: 0)
        val written = store.write(listOf(condition), listOf(KvPut(key, next.toString())), emptyList())
        return if (written is KvResult.Answered && written.value) next else null
    }
}
