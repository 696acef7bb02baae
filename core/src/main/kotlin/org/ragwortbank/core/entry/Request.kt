package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.limits.GrantOrigin
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.tick.Timestamp

/**
 * A row of an entry's requests table, which exists from arrival to the end of the answer.
 *
 * @property reservedTokens upper bound of the tokens that the request consumes
 * @property grantOrigin identifies the grant that covers [reservedTokens]; null before the request is admitted
 * @property claimed whether the idempotency key has been recorded for this request
 * @property triedUpstreams upstreams at which this request failed
 * @property attempts number of dispatches so far
 */
data class Request(
    val call: Call,
    val account: AccountId,
    val route: Route,
    val idempotent: Boolean,
    val reservedTokens: Long,
    val receivedAt: Timestamp,
    val stage: Stage = Stage.AwaitingCredit,
    val grantOrigin: GrantOrigin? = null,
    val claimed: Boolean = false,
    val triedUpstreams: PersistentSet<InstanceName> = persistentSetOf(),
    val attempts: Int = 0,
    val delivery: Delivery = Delivery(),
)
