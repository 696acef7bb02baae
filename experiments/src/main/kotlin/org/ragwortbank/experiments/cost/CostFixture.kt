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

/** An entry with [routes] routes and [upstreams] upstreams in [POOLS] pools, for measuring the cost of its ticks. */
internal class CostFixture(private val routes: Int, private val upstreams: Int) {
    private val schedule = entrySchedule()
    private val member = LimitMember(InstanceName("entry-1"), Incarnation("entry-1.a"), "entry-1:1")

    /** The operators' tables of that size. */
    fun configuration(): Configuration = configuration(version = 1) {
        for (pool in 0 until POOLS) pool("pool-$pool", UpstreamKind.ENGINE, "engine-$pool-*")
        account("member", rate = RATE, burst = RATE)
        for (row in 0 until routes) {
            route("route-$row", "pool-${row % POOLS}", AdapterRef("adapter-$row", "1"), "member")
        }
        key(KEY, "member")
    }

    /** The entry's tables once it knows all of that. */
    fun tables(): EntryTables {
        val begin = EntryTables(EntryIdentity(member, FailureDomain("a")))
        val instances = (0 until upstreams).map(::sidecar) + instance("entry-1", InstanceRole.ENTRY)
        val known = run(
            begin,
            persistentListOf(
                EntryInput.InstancesRead(instances.toPersistentList(), NOW),
                EntryInput.EpochRead(LimitEpoch.first(member), NOW),
                EntryInput.ConfigurationRead(configuration()),
            ),
        )
        val listed = run(known.tables, persistentListOf(EntryInput.InstancesRead(instances.toPersistentList(), NOW)))
        return (0 until upstreams).fold(listed.tables) { tables, number -> connect(tables, number) }
    }

    /** The tables after one tick without inputs. */
    fun idleTick(tables: EntryTables): EntryTables = run(tables, persistentListOf()).tables

    /** The tables after request [number] arrived, was admitted, dispatched, answered in one piece and ended. */
    fun request(tables: EntryTables, number: Long): EntryTables {
        val now = NOW + REQUEST_INTERVAL * number.toInt()
        val confirmed = tables.copy(membership = tables.membership.copy(confirmedAt = now))
        val arrived = run(confirmed, persistentListOf(EntryInput.CallArrived(call(number))), now)
        val asked = run(arrived.tables, toSelf(arrived.effects), now)
        val granted = run(asked.tables, toSelf(asked.effects), now)
        val sent = granted.effects.filterIsInstance<EntryEffect.SendToSidecar>().single()
        val run = (sent.command as SidecarCommand.Dispatch).run
        val answer = listOf(
            SidecarReport.Started(run, ResponseHead(OK, persistentListOf(), isStreamed = true)),
            SidecarReport.Chunk(run, 0, 1, ByteString()),
            SidecarReport.Completed(run, 1, Usage(1, PROMPT_AND_OUTPUT - 1)),
        )
        val inputs = answer.map { EntryInput.SidecarReportReceived(sent.to, it) }.toPersistentList()
        return run(granted.tables, inputs, now).tables
    }

    private fun call(number: Long): Call {
        val work = Work.Generation(GenerationApi.CHAT, true, 1, PROMPT_AND_OUTPUT - 1, false, ByteString())
        return Call(RequestId(member.incarnation, number), RouteName("route-${number % routes}"), work, KEY)
    }

    private fun toSelf(effects: List<EntryEffect>): PersistentList<EntryInput> =
        effects.filterIsInstance<EntryEffect.SendToEntry>()
            .filter { it.to == member.name }
            .map { EntryInput.EntryMessageReceived(member.name, it.message) }
            .toPersistentList()

    private fun connect(tables: EntryTables, number: Int): EntryTables {
        val name = sidecar(number).name
        val resident = (0 until RESIDENT).map { AdapterRef("adapter-${number * RESIDENT + it}", "1") }
        val digest = SidecarReport.Digest(persistentSetOf<AdapterRef>().addAll(resident), 0, 0, isAccepting = true)
        val inputs = persistentListOf(EntryInput.LinkOpened(name), EntryInput.SidecarReportReceived(name, digest))
        return run(tables, inputs).tables
    }

    private fun sidecar(number: Int): Instance = instance("engine-${number % POOLS}-$number", InstanceRole.SIDECAR)

    private fun instance(name: String, role: InstanceRole): Instance =
        Instance(InstanceName(name), role, "$name:1", "$name:2", FailureDomain("a"))

    private fun run(tables: EntryTables, inputs: PersistentList<EntryInput>, now: Timestamp = NOW): EntryStep =
        schedule.run(Tick(now, inputs), tables)

    companion object {
        /** Pools, one for each base model. */
        const val POOLS = 8

        private const val RESIDENT = 32
        private const val RATE = 1_000_000_000L
        private const val PROMPT_AND_OUTPUT = 100L
        private const val OK = 200
        private val KEY = KeyHash("aa")
        private val NOW = Timestamp(1_000_000_000)
        private val REQUEST_INTERVAL = 10.milliseconds
    }
}
