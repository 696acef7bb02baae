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
 * A record names the request that holds the key, so that a writer whose answer was lost recognises its own.
 */
class ClaimStore(private val store: KeyValueStore) {
    /** Records that [request] holds [key] of [account], unless another request does. */
    suspend fun claim(request: RequestId, account: AccountId, key: IdempotencyKey): ClaimResult {
        val path = path(account, key)
        val put = KvPut(path, request.toString())
        return when (val answer = store.write(listOf(KvCondition(path, 0)), listOf(put), emptyList())) {
            is KvResult.Answered -> if (answer.value) ClaimResult.GRANTED else holder(path, request)
            is KvResult.Unanswered -> holderAfterLostAnswer(path, request)
        }
    }

    /** Removes the record of [key] if [request] holds it. */
    suspend fun release(request: RequestId, account: AccountId, key: IdempotencyKey) {
        val path = path(account, key)
        val entry = (store.read(listOf(path)) as? KvResult.Answered)?.value?.get(path) ?: return
        if (entry.value != request.toString()) return
        store.write(listOf(KvCondition(path, entry.revision)), emptyList(), listOf(path))
    }

    private suspend fun holder(path: String, request: RequestId): ClaimResult =
        when (val answer = store.read(listOf(path))) {
            is KvResult.Unanswered -> ClaimResult.UNAVAILABLE
            is KvResult.Answered ->
                if (answer.value[path]?.value == request.toString()) ClaimResult.GRANTED else ClaimResult.TAKEN
        }

    private suspend fun holderAfterLostAnswer(path: String, request: RequestId): ClaimResult =
        when (val answer = store.read(listOf(path))) {
            is KvResult.Unanswered -> ClaimResult.UNAVAILABLE
            is KvResult.Answered -> judge(answer.value[path]?.value, request)
        }

    private fun judge(holder: String?, request: RequestId): ClaimResult =
        when (holder) {
            null -> ClaimResult.UNAVAILABLE
            request.toString() -> ClaimResult.GRANTED
            else -> ClaimResult.TAKEN
        }

    private fun path(account: AccountId, key: IdempotencyKey): String {
        val name = "${account.value.length}:${account.value}:${key.value}"
        val digest = MessageDigest.getInstance("SHA-256").digest(name.encodeToByteArray())
        return "ragwortbank/claims/" + HexFormat.of().formatHex(digest)
    }
}
