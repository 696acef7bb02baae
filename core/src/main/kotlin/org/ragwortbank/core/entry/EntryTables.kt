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

/** Intermediate result of a tick of an entry. */
typealias EntryStep = Step<EntryTables, EntryEffect>

/**
 * The state of an entry as one immutable value.
 *
 * @property poolMembers names of the upstreams of each pool
 * @property readyRequests requests to dispatch in this tick
 * @property credits requests that wait for tokens, by account
 * @property accountsNeedingCredit accounts for which a credit request may be due
 * @property buckets buckets that this entry owns, collects, has received or has handed over
 * @property collectingAccounts accounts whose row in [buckets] is [BucketRow.Collecting]
 * @property promisedEpoch epoch of the last bucket request answered; requests under lower epochs are ignored
 * @property lostBootstrapBuckets whether this entry may no longer assume full buckets as the bootstrap member
 * @property handedOverAllBuckets whether this stopping entry has handed all its buckets over
 * @property nextCreditRequest number of the next credit request
 * @property stoppingSince when a graceful stop was requested; null before
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
    /** Whether a graceful stop was requested. */
    val stopping: Boolean get() = stoppingSince != null

    /** The tables with the row of [request] added or replaced. */
    fun putRequest(request: Request): EntryTables = copy(requests = requests.put(request.call.id, request))

    /** The tables with the row of [name] replaced by the result of [change]; unchanged without such a row. */
    fun updateUpstream(name: InstanceName, change: (Upstream) -> Upstream): EntryTables {
        val row = upstreams[name] ?: return this
        return copy(upstreams = upstreams.put(name, change(row)))
    }
}
