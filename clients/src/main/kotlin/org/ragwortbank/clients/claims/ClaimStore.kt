package org.ragwortbank.clients.claims

import org.ragwortbank.clients.kv.KeyValueStore
import org.ragwortbank.clients.kv.KvCondition
import org.ragwortbank.clients.kv.KvPut
import org.ragwortbank.clients.kv.KvResult
import org.ragwortbank.core.entry.ClaimResult
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.IdempotencyKey
import org.ragwortbank.core.model.RequestId
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Records of idempotency keys in the key-value service.
 *
 * A record names the request that holds the key, so that a writer that got no response recognises its own.
 */
class ClaimStore(private val store: KeyValueStore) {
    /** Records that [request] holds [key] of [account], unless another request holds it. */
    suspend fun claim(request: RequestId, account: AccountId, key: IdempotencyKey): ClaimResult {
        val storeKey = claimKey(account, key)
        val put = KvPut(storeKey, request.toString())
        return when (val result = store.write(listOf(KvCondition(storeKey, 0)), listOf(put), emptyList())) {
            is KvResult.Answered -> if (result.value) ClaimResult.GRANTED else resultAfterConflict(storeKey, request)
            is KvResult.Unanswered -> resultAfterLostResponse(storeKey, request)
        }
    }

    /** Removes the record of [key] if [request] holds it. */
    suspend fun release(request: RequestId, account: AccountId, key: IdempotencyKey) {
        val storeKey = claimKey(account, key)
        val entry = (store.read(listOf(storeKey)) as? KvResult.Answered)?.value?.get(storeKey) ?: return
        if (entry.value != request.toString()) return
        store.write(listOf(KvCondition(storeKey, entry.revision)), emptyList(), listOf(storeKey))
    }

    private suspend fun resultAfterConflict(storeKey: String, request: RequestId): ClaimResult =
        when (val result = store.read(listOf(storeKey))) {
            is KvResult.Unanswered -> ClaimResult.UNAVAILABLE
            is KvResult.Answered ->
                if (result.value[storeKey]?.value == request.toString()) ClaimResult.GRANTED else ClaimResult.TAKEN
        }

    private suspend fun resultAfterLostResponse(storeKey: String, request: RequestId): ClaimResult =
        when (val result = store.read(listOf(storeKey))) {
            is KvResult.Unanswered -> ClaimResult.UNAVAILABLE
            is KvResult.Answered -> resultFor(result.value[storeKey]?.value, request)
        }

    private fun resultFor(holder: String?, request: RequestId): ClaimResult =
        when (holder) {
            null -> ClaimResult.UNAVAILABLE
            request.toString() -> ClaimResult.GRANTED
            else -> ClaimResult.TAKEN
        }

    private fun claimKey(account: AccountId, key: IdempotencyKey): String {
        val accountAndKey = "${account.value.length}:${account.value}:${key.value}"
        val digest = MessageDigest.getInstance("SHA-256").digest(accountAndKey.encodeToByteArray())
        return "ragwortbank/claims/" + HexFormat.of().formatHex(digest)
    }
}
