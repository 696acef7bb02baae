package org.ragwortbank.core.limits

import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.model.AccountId

/** Decides which entry is the home of an account. */
fun interface BucketOwnerSelector {
    /** The home of [account] among [candidates]; null when there are none. */
    fun ownerOf(account: AccountId, candidates: Collection<LimitMember>): LimitMember?

    companion object {
        /** Rendezvous hashing: a change of membership moves only the accounts of the members concerned. */
        val RENDEZVOUS: BucketOwnerSelector = BucketOwnerSelector { account, candidates ->
            val accountHash = RendezvousHash.hashOf(account.value)
            candidates.maxByOrNull { RendezvousHash.score(accountHash, RendezvousHash.hashOf(it.name.value)) }
        }
    }
}
