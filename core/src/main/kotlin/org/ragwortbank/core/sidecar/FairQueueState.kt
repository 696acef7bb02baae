package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.model.AccountId

/**
 * How far each account has been served, for start-time fair queueing.
 *
 * @property virtualTime rank of the run that was started last, in tokens; ranks never fall behind it
 * @property finishTags rank at which the next run of an account starts
 */
data class FairQueueState(
    private val virtualTime: Long = 0,
    private val finishTags: PersistentMap<AccountId, Long> = persistentMapOf(),
) {
    /**
     * Rank of the next run of [account]; the lowest rank starts first.
     *
     * An account that has waited for nothing has no claim on the time that has passed.
     */
    fun startTagOf(account: AccountId): Long = maxOf(finishTags[account] ?: 0, virtualTime)

    /** The shares after a run of [account] worth [tokens] was started. */
    fun recordStart(account: AccountId, tokens: Long): FairQueueState {
        val startTag = startTagOf(account)
        return FairQueueState(startTag, finishTags.put(account, startTag + tokens))
    }
}
