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

/**
 * Content of the key-value stand-in.
 *
 * @property revision number of transactions with writes that were executed
 * @property pairsByKey stored pairs by key in Base64
 */
data class KvData(
    val revision: Long = 0,
    val pairsByKey: PersistentMap<String, KeyValue> = persistentMapOf(),
) {
    /** Executes [txn] if all its conditions are met; this content stays as it is. */
    fun execute(txn: TxnRequest): TransactionOutcome {
        val areAllMet = txn.compare.all(::isMet)
        if (!areAllMet) return TransactionOutcome(this, TxnResponse(succeeded = false), persistentListOf())
        val hasWrites = txn.success.any { it.put != null || it.delete != null }
        val updated = copy(revision = if (hasWrites) revision + 1 else revision)
        val initial = TransactionOutcome(updated, TxnResponse(succeeded = true), persistentListOf())
        return txn.success.fold(initial, ::executeOperation)
    }

    private fun isMet(compare: Compare): Boolean =
        (pairsByKey[compare.key]?.modRevision ?: "0") == compare.revision

    private fun executeOperation(outcome: TransactionOutcome, operation: RequestOp): TransactionOutcome {
        val put = operation.put
        val delete = operation.delete
        val range = operation.range
        return when {
            put != null -> outcome.put(put.key, put.value)
            delete != null -> outcome.delete(delete.key)
            range != null -> outcome.addResponse(RangeResponse(listOfNotNull(outcome.data.pairsByKey[range.key])))
            else -> outcome
        }
    }
}

/**
 * Outcome of a transaction.
 *
 * @property data content after the transaction
 * @property response response to the client
 * @property changedPairs pairs written; a deleted key has an empty value
 */
data class TransactionOutcome(
    val data: KvData,
    val response: TxnResponse,
    val changedPairs: PersistentList<KeyValue>,
) {
    internal fun put(key: String, value: String): TransactionOutcome {
        val pair = KeyValue(key, value, data.revision.toString())
        val updated = data.copy(pairsByKey = data.pairsByKey.put(key, pair))
        return copy(data = updated, changedPairs = changedPairs.add(pair)).addResponse(null)
    }

    internal fun delete(key: String): TransactionOutcome {
        val updated = data.copy(pairsByKey = data.pairsByKey.remove(key))
        return copy(data = updated, changedPairs = changedPairs.add(KeyValue(key))).addResponse(null)
    }

    internal fun addResponse(range: RangeResponse?): TransactionOutcome =
        copy(response = response.copy(responses = response.responses + ResponseOp(range)))
}
