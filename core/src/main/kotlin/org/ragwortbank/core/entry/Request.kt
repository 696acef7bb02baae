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
 * A row of an entry's requests table; it exists from arrival to the last piece of the answer.
 *
 * @property reserve tokens that the request may take at most
 * @property grant the grant by which [reserve] was taken from the account's bucket; null before
 * @property claimed whether the idempotency key has been recorded for this request
 * @property tried upstreams that have refused or failed this request
 * @property attempts dispatches so far
 */
data class Request(
    val call: Call,
    val account: AccountId,
    val route: Route,
    val idempotent: Boolean,
    val reserve: Long,
    val receivedAt: Timestamp,
    val stage: Stage = Stage.AwaitingCredit,
    val grant: GrantOrigin? = null,
    val claimed: Boolean = false,
    val tried: PersistentSet<InstanceName> = persistentSetOf(),
    val attempts: Int = 0,
    val delivery: Delivery = Delivery(),
)
