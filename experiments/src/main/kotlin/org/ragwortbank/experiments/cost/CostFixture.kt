package org.ragwortbank.experiments.cost

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.core.entry.EntryIdentity
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.entry.EntryStep
import org.ragwortbank.core.entry.EntryTables
import org.ragwortbank.core.entry.entrySchedule
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
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
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.model.configuration
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** An entry with [routeCount] routes and [upstreamCount] upstreams in [POOL_COUNT] pools, to measure its tick costs. */
internal class CostFixture(private val routeCount: Int, private val upstreamCount: Int) {
    private val schedule = entrySchedule()
    private val member = LimitMember(InstanceName("entry-1"), Incarnation("entry-1.a"), "entry-1:1")

    /** The operators' tables with these routes and pools. */
    fun configuration(): Configuration = configuration(version = 1) {
        for (pool in 0 until POOL_COUNT) pool("pool-$pool", UpstreamKind.ENGINE, "engine-$pool-*")
        account("member", rate = TOKENS_PER_SECOND, burst = TOKENS_PER_SECOND)
        for (route in 0 until routeCount) {
            route("route-$route", "pool-${route % POOL_COUNT}", AdapterRef("adapter-$route", "1"), "member")
        }
        key(KEY, "member")
    }

    /** The tables of an entry that has read the configuration and is connected to all upstreams. */
    fun tables(): EntryTables {
        val initialTables = EntryTables(EntryIdentity(member, FailureDomain("a")))
        val instances = (0 until upstreamCount).map(::sidecar) + instance("entry-1", InstanceRole.ENTRY)
        val configured = run(
            initialTables,
            persistentListOf(
                EntryInput.InstancesRead(instances.toPersistentList(), NOW),
                EntryInput.EpochRead(LimitEpoch.first(member), NOW),
                EntryInput.ConfigurationRead(configuration()),
            ),
        )
        val instancesRead = EntryInput.InstancesRead(instances.toPersistentList(), NOW)
        val listed = run(configured.tables, persistentListOf(instancesRead))
        return (0 until upstreamCount).fold(listed.tables) { tables, upstreamNumber ->
            connectUpstream(tables, upstreamNumber)
        }
    }

    /** The tables after one tick without inputs. */
    fun idleTick(tables: EntryTables): EntryTables = run(tables, persistentListOf()).tables

    /** The tables after request [requestNumber] was admitted, dispatched, answered in one chunk and completed. */
    fun completeRequest(tables: EntryTables, requestNumber: Long): EntryTables {
        val now = NOW + REQUEST_INTERVAL * requestNumber.toInt()
        val confirmed = tables.copy(membership = tables.membership.copy(confirmedAt = now))
        val arrived = run(confirmed, persistentListOf(EntryInput.CallArrived(call(requestNumber))), now)
        val creditRequested = run(arrived.tables, messagesToSelf(arrived.effects), now)
        val creditGranted = run(creditRequested.tables, messagesToSelf(creditRequested.effects), now)
        val dispatch = creditGranted.effects.filterIsInstance<EntryEffect.SendToSidecar>().single()
        val run = (dispatch.command as SidecarCommand.Dispatch).run
        val reports = listOf(
            SidecarReport.Started(run, ResponseHead(HTTP_OK, persistentListOf(), isStreamed = true)),
            SidecarReport.Chunk(run, 0, 1, ByteString()),
            SidecarReport.Completed(run, 1, Usage(1, TOKENS_PER_REQUEST - 1)),
        )
        val inputs = reports.map { EntryInput.SidecarReportReceived(dispatch.to, it) }.toPersistentList()
        return run(creditGranted.tables, inputs, now).tables
    }

    private fun call(requestNumber: Long): Call {
        val work = Work.Generation(GenerationApi.CHAT, true, 1, TOKENS_PER_REQUEST - 1, false, ByteString())
        val route = RouteName("route-${requestNumber % routeCount}")
        return Call(RequestId(member.incarnation, requestNumber), route, work, KEY)
    }

    private fun messagesToSelf(effects: List<EntryEffect>): PersistentList<EntryInput> =
        effects.filterIsInstance<EntryEffect.SendToEntry>()
            .filter { it.to == member.name }
            .map { EntryInput.EntryMessageReceived(member.name, it.message) }
            .toPersistentList()

    private fun connectUpstream(tables: EntryTables, upstreamNumber: Int): EntryTables {
        val name = sidecar(upstreamNumber).name
        val residentAdapters = (0 until RESIDENT_ADAPTERS).map { adapterNumber ->
            AdapterRef("adapter-${upstreamNumber * RESIDENT_ADAPTERS + adapterNumber}", "1")
        }
        val digest =
            SidecarReport.Digest(persistentSetOf<AdapterRef>().addAll(residentAdapters), 0, 0, isAccepting = true)
        val inputs = persistentListOf(EntryInput.LinkOpened(name), EntryInput.SidecarReportReceived(name, digest))
        return run(tables, inputs).tables
    }

    private fun sidecar(upstreamNumber: Int): Instance =
        instance("engine-${upstreamNumber % POOL_COUNT}-$upstreamNumber", InstanceRole.SIDECAR)

    private fun instance(name: String, role: InstanceRole): Instance =
        Instance(InstanceName(name), role, "$name:1", "$name:2", FailureDomain("a"))

    private fun run(tables: EntryTables, inputs: PersistentList<EntryInput>, now: Timestamp = NOW): EntryStep =
        schedule.run(Tick(now, inputs), tables)

    companion object {
        /** Number of pools, one for each base model. */
        const val POOL_COUNT = 8

        private const val RESIDENT_ADAPTERS = 32
        private const val TOKENS_PER_SECOND = 1_000_000_000L
        private const val TOKENS_PER_REQUEST = 100L
        private const val HTTP_OK = 200
        private val KEY = KeyHash("aa")
        private val NOW = Timestamp(1_000_000_000)
        private val REQUEST_INTERVAL = 10.milliseconds
    }
}
