package org.ragwortbank.standins.kv

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.clients.kv.Compare
import org.ragwortbank.clients.kv.KeyValue
import org.ragwortbank.clients.kv.RangeResponse
import org.ragwortbank.clients.kv.RequestOp
import org.ragwortbank.clients.kv.ResponseOp
import org.ragwortbank.clients.kv.TxnRequest
import org.ragwortbank.clients.kv.TxnResponse

/** Content of the key-value stand-in, by Base64 key, after write number [revision]. */
data class KvData(
    val revision: Long = 0,
    val pairs: PersistentMap<String, KeyValue> = persistentMapOf(),
) {
    /** The content after [txn], with its answer and the pairs that it changed. */
    fun apply(txn: TxnRequest): KvOutcome {
        val holds = txn.compare.all(::holds)
        if (!holds) return KvOutcome(this, TxnResponse(succeeded = false), persistentListOf())
        val writes = txn.success.any { it.put != null || it.delete != null }
        val next = copy(revision = if (writes) revision + 1 else revision)
        return txn.success.fold(KvOutcome(next, TxnResponse(succeeded = true), persistentListOf()), ::perform)
    }

    private fun holds(compare: Compare): Boolean =
        (pairs[compare.key]?.modRevision ?: "0") == compare.revision

    private fun perform(outcome: KvOutcome, operation: RequestOp): KvOutcome {
        val put = operation.put
        val delete = operation.delete
        val range = operation.range
        return when {
            put != null -> outcome.put(put.key, put.value)
            delete != null -> outcome.delete(delete.key)
            range != null -> outcome.answer(RangeResponse(listOfNotNull(outcome.data.pairs[range.key])))
            else -> outcome
        }
    }
}

/** What a transaction did. */
data class KvOutcome(
    val data: KvData,
    val response: TxnResponse,
    val changed: PersistentList<KeyValue>,
) {
    internal fun put(key: String, value: String): KvOutcome {
        val pair = KeyValue(key, value, data.revision.toString())
        val next = data.copy(pairs = data.pairs.put(key, pair))
        return copy(data = next, changed = changed.add(pair)).answer(null)
    }

    internal fun delete(key: String): KvOutcome {
        val next = data.copy(pairs = data.pairs.remove(key))
        return copy(data = next, changed = changed.add(KeyValue(key))).answer(null)
    }

    internal fun answer(range: RangeResponse?): KvOutcome =
        copy(response = response.copy(responses = response.responses + ResponseOp(range)))
}
