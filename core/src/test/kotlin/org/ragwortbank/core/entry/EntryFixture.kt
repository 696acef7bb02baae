package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.GenerationApi
import org.ragwortbank.core.model.IdempotencyKey
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
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One entry with three upstreams, run tick by tick in virtual time; its messages to itself are delivered at once. */
class EntryFixture(settings: EntrySettings = EntrySettings()) {
    private val schedule = entrySchedule()
    private val member = LimitMember(InstanceName("entry-1"), Incarnation("entry-1.a"), "entry-1:1")
    private var sequence = 0L

    var now = Timestamp(0)
        private set

    var tables = EntryTables(EntryIdentity(member, FailureDomain("a")), settings)
        private set

    /** Effects of the last call of [tick], including those of the ticks that it caused. */
    var effects: List<EntryEffect> = emptyList()
        private set

    init {
        val sidecars = UPSTREAMS.map { instance(it, InstanceRole.SIDECAR) }
        val instances = listOf(instance("entry-1", InstanceRole.ENTRY)) + sidecars
        val accepting = SidecarReport.Digest(persistentSetOf(), queuedCount = 0, runningCount = 0, isAccepting = true)
        tick(
            EntryInput.EpochRead(LimitEpoch.first(member), now),
            EntryInput.InstancesRead(instances.toPersistentList(), now),
            EntryInput.ConfigurationRead(CONFIGURATION),
        )
        UPSTREAMS.forEach { name ->
            val instance = InstanceName(name)
            tick(EntryInput.LinkOpened(instance), EntryInput.SidecarReportReceived(instance, accepting))
        }
    }

    /** Advances the clock by [duration], confirms the membership and runs one tick with [inputs]. */
    fun advance(duration: Duration, vararg inputs: EntryInput) {
        now += duration
        val listed = EntryInput.InstancesRead(tables.membership.instances.values.toPersistentList(), now)
        tick(listed, *inputs)
    }

    /** Advances the clock by [duration] without input from the platform and runs one tick. */
    fun advanceWithoutPlatform(duration: Duration) {
        now += duration
        tick()
    }

    /** Makes another entry, which never answers, the owner of all buckets. */
    fun giveOwnershipToOtherEntry() {
        val otherEntry = LimitMember(InstanceName("entry-2"), Incarnation("entry-2.a"), "entry-2:1")
        tick(EntryInput.EpochRead(LimitEpoch(2, otherEntry, persistentListOf(otherEntry)), now))
    }

    fun tick(vararg inputs: EntryInput) {
        effects = emptyList()
        run(inputs.toList())
    }

    private fun run(inputs: List<EntryInput>) {
        val step = schedule.run(Tick(now, inputs.toPersistentList()), tables)
        tables = step.tables
        effects = effects + step.effects
        val toSelf = step.effects.filterIsInstance<EntryEffect.SendToEntry>().filter { it.to == member.name }
        if (toSelf.isNotEmpty()) run(toSelf.map { EntryInput.EntryMessageReceived(member.name, it.message) })
    }

    /** A call of [route], by default with the key of the account `large`. */
    fun call(
        route: String = "advice",
        maxTokens: Long = 10,
        credential: KeyHash? = KEY,
        idempotencyKey: String? = null,
    ): Call {
        sequence += 1
        val id = RequestId(member.incarnation, sequence)
        val work = if (route == "booking") PLAIN else generate(maxTokens)
        return Call(id, RouteName(route), work, credential, idempotencyKey?.let(::IdempotencyKey))
    }

    fun receiveCall(call: Call) = tick(EntryInput.CallArrived(call))

    fun dispatches(): List<SidecarCommand.Dispatch> =
        effects.filterIsInstance<EntryEffect.SendToSidecar>().map { it.command }
            .filterIsInstance<SidecarCommand.Dispatch>()

    fun dispatchTarget(): InstanceName =
        effects.filterIsInstance<EntryEffect.SendToSidecar>().last { it.command is SidecarCommand.Dispatch }.to

    fun refusals(): List<Refusal> = effects.filterIsInstance<EntryEffect.Refuse>().map { it.refusal }

    fun receiveReport(from: InstanceName, report: SidecarReport) = tick(EntryInput.SidecarReportReceived(from, report))

    fun settledTokens(): List<Long> =
        effects.filterIsInstance<EntryEffect.SendToEntry>().map { it.message }
            .filterIsInstance<EntryMessage.CreditReturn>()
            .map { it.unusedTokens }

    private fun generate(maxTokens: Long): Work =
        Work.Generation(
            GenerationApi.CHAT,
            isStreamed = true,
            promptTokens = 1,
            maxTokens,
            includeUsage = false,
            ByteString(),
        )

    private fun instance(name: String, role: InstanceRole): Instance =
        Instance(InstanceName(name), role, "$name:1", "$name:2", FailureDomain("a"))

    companion object {
        val KEY = KeyHash("aa")
        val SMALL_KEY = KeyHash("bb")
        val UPSTREAMS = listOf("engine-1", "engine-2", "booking-1")
        val STEP = 10.milliseconds
        private val PLAIN = Work.ServiceCall("POST", "/lessons", persistentListOf(), ByteString())

        val CONFIGURATION: Configuration = configuration(version = 1) {
            pool("engines", UpstreamKind.ENGINE, "engine-*")
            pool("bookings", UpstreamKind.SERVICE, "booking-1")
            account("large", rate = 1_000, burst = 100)
            account("small", rate = 10, burst = 20)
            route("advice", "engines", AdapterRef("advice", "3"), "large", "small")
            route("private", "engines", AdapterRef("private", "1"), "large")
            service("booking", "bookings", "large")
            key(KEY, "large")
            key(SMALL_KEY, "small")
        }
    }
}
