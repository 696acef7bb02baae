package org.ragwortbank.core.limits

import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.model.AccountId

/** Selects the entry that owns the bucket of an account. */
fun interface BucketOwnerSelector {
    /** The bucket owner of [account] among [candidates]; null if there are no candidates. */
    fun ownerOf(account: AccountId, candidates: Collection<LimitMember>): LimitMember?

    companion object {
        /** Rendezvous hashing: a membership change moves only the accounts of the members that joined or left. */
        val RENDEZVOUS: BucketOwnerSelector = BucketOwnerSelector { account, candidates ->
            val accountHash = RendezvousHash.hashOf(account.value)
            candidates.maxByOrNull { RendezvousHash.score(accountHash, RendezvousHash.hashOf(it.name.value)) }
        }
    }
}
