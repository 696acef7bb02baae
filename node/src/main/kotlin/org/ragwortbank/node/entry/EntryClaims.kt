package org.ragwortbank.node.entry

import kotlinx.coroutines.launch
import org.ragwortbank.clients.claims.ClaimStore
import org.ragwortbank.core.entry.ClaimResult
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.IdempotencyKey
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.node.NodeRuntime
import org.ragwortbank.node.metrics.PlatformCall

/** Claims and releases idempotency keys in the store for the requests of an entry. */
internal class EntryClaims(private val runtime: NodeRuntime, private val post: (EntryInput) -> Unit) {
    private val claimStore = ClaimStore(runtime.keyValueStore)

    /** Claims [key] for [request], unless another request holds it, and posts the result. */
    fun claim(request: RequestId, account: AccountId, key: IdempotencyKey) = runtime.scope.launch {
        val result = claimStore.claim(request, account, key)
        runtime.metrics.recordPlatformCall(PlatformCall.CLAIM, result != ClaimResult.UNAVAILABLE)
        post(EntryInput.ClaimDecided(request, result))
    }

    /** Removes the claim of [key] if [request] holds it. */
    fun release(request: RequestId, account: AccountId, key: IdempotencyKey) = runtime.scope.launch {
        claimStore.release(request, account, key)
    }
}
