package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.model.AccountId

/**
 * State of start-time fair queueing; tags and virtual time are counted in tokens.
 *
 * @property virtualTime start tag of the run that was started last; a lower bound of all new start tags
 * @property finishTags finish tag of the last run that was started for each account
 */
data class FairQueueState(
    private val virtualTime: Long = 0,
    private val finishTags: PersistentMap<AccountId, Long> = persistentMapOf(),
) {
    /**
     * Start tag of the next run of [account]; the run with the lowest start tag starts first.
     *
     * It is at least [virtualTime], so that an account accumulates no credit while it is idle.
     */
    fun startTagOf(account: AccountId): Long = maxOf(finishTags[account] ?: 0, virtualTime)

    /** The state after a run of [account] that costs [tokens] was started. */
    fun recordStart(account: AccountId, tokens: Long): FairQueueState {
        val startTag = startTagOf(account)
        return FairQueueState(startTag, finishTags.put(account, startTag + tokens))
    }
}
