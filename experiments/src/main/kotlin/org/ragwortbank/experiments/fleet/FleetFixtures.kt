package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.entry.EntryIdentity
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.entry.EntrySettings
import org.ragwortbank.core.entry.EntryTables
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.GenerationApi
import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.model.configuration
import org.ragwortbank.core.tick.Timestamp

/** The fixed parts of each run: one account, one route and one upstream that accepts every request. */
internal object FleetFixtures {
    private val accountId = AccountId("member")
    private val keyHash = KeyHash("aa")
    private val adapter = AdapterRef("advice", "1")

    /** The instance record of the upstream. */
    val upstream: Instance = instance(InstanceName("engine-1"), "engine-1:1", InstanceRole.SIDECAR)

    /** The account under an agreement of [rate] tokens per second and a burst of [burst] tokens. */
    fun account(rate: Long, burst: Long): Account = Account(accountId, rate, burst)

    /** The operators' tables with the agreement of [account]. */
    fun configuration(account: Account): Configuration = configuration(version = 1) {
        pool("engines", UpstreamKind.ENGINE, "engine-*")
        account(account.id.value, account.rate, account.burst)
        route("advice", "engines", adapter, account.id.value)
        key(keyHash, account.id.value)
    }

    /** A process that has just started. */
    fun newProcess(name: InstanceName, address: String, settings: EntrySettings): SimulatedProcess {
        val member = LimitMember(name, Incarnation(address), address)
        val identity = EntryIdentity(member, FailureDomain("a"))
        return SimulatedProcess(name, address, EntryTables(identity, settings))
    }

    /** The inputs of a process in its first tick. */
    fun startupInputs(tables: Configuration, now: Timestamp): PersistentList<EntryInput> {
        val digest =
            SidecarReport.Digest(persistentSetOf(adapter), queuedCount = 0, runningCount = 0, isAccepting = true)
        return persistentListOf(
            EntryInput.ConfigurationRead(tables),
            EntryInput.InstancesRead(persistentListOf(upstream), now),
            EntryInput.LinkOpened(upstream.name),
            EntryInput.SidecarReportReceived(upstream.name, digest),
        )
    }

    /** A request to [process] that reserves [tokens]. */
    fun call(process: SimulatedProcess, tokens: Long): Call {
        val id = RequestId(Incarnation(process.address), process.requestCount + 1)
        val work =
            Work.Generation(GenerationApi.CHAT, isStreamed = true, 1, tokens - 1, includeUsage = false, ByteString())
        return Call(id, RouteName("advice"), work, keyHash)
    }

    private fun instance(name: InstanceName, address: String, role: InstanceRole): Instance =
        Instance(name, role, address, address, FailureDomain("a"))
}
