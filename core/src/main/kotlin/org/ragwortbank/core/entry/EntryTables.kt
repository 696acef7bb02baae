package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.PoolName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.tick.Step
import org.ragwortbank.core.tick.Timestamp

/** An entry's step of a tick. */
typealias EntryStep = Step<EntryTables, EntryEffect>

/**
 * All that an entry knows, as one immutable value.
 *
 * @property poolMembers for each pool the upstreams on the instance list that belong to it
 * @property readyRequests requests that this tick must dispatch
 * @property credits accounts that have requests waiting for tokens
 * @property accountsNeedingCredit accounts whose waiting requests have changed since the last question to the home
 * @property buckets buckets that this entry owns, collects or has given away
 * @property collectingAccounts the accounts whose row in [buckets] is collecting
 * @property promisedEpoch highest epoch under which this entry has given up a bucket
 * @property lostBootstrapBuckets whether this entry has lost its right as founder to buckets that nobody has asked for
 * @property handedOverAllBuckets whether this entry, on leaving, has passed all buckets on
 * @property nextCreditRequest number of the next question to a home
 * @property stoppingSince when a graceful stop was asked for
 * @property sweptAt when timeouts were last checked
 */
data class EntryTables(
    val identity: EntryIdentity,
    val settings: EntrySettings = EntrySettings(),
    val configuration: Configuration = Configuration(),
    val membership: Membership = Membership(),
    val upstreams: PersistentMap<InstanceName, Upstream> = persistentMapOf(),
    val poolMembers: PersistentMap<PoolName, PersistentList<InstanceName>> = persistentMapOf(),
    val requests: PersistentMap<RequestId, Request> = persistentMapOf(),
    val readyRequests: PersistentList<RequestId> = persistentListOf(),
    val credits: PersistentMap<AccountId, CreditRow> = persistentMapOf(),
    val accountsNeedingCredit: PersistentSet<AccountId> = persistentSetOf(),
    val buckets: PersistentMap<AccountId, BucketRow> = persistentMapOf(),
    val collectingAccounts: PersistentSet<AccountId> = persistentSetOf(),
    val promisedEpoch: Long = 0,
    val lostBootstrapBuckets: Boolean = false,
    val handedOverAllBuckets: Boolean = false,
    val nextCreditRequest: Long = 1,
    val stoppingSince: Timestamp? = null,
    val sweptAt: Timestamp? = null,
) {
    /** Whether a graceful stop was asked for. */
    val stopping: Boolean get() = stoppingSince != null

    /** The tables with [request] in place of its earlier row. */
    fun putRequest(request: Request): EntryTables = copy(requests = requests.put(request.call.id, request))

    /** The tables with the row of [name] changed, if there is one. */
    fun updateUpstream(name: InstanceName, change: (Upstream) -> Upstream): EntryTables {
        val row = upstreams[name] ?: return this
        return copy(upstreams = upstreams.put(name, change(row)))
    }
}
