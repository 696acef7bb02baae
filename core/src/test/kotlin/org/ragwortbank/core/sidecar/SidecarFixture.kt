package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.GenerationApi
import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A sidecar with one entry link, run tick by tick in virtual time. */
class SidecarFixture(
    settings: SidecarSettings = SidecarSettings(slots = 2, maxRunning = 2),
    fencingToken: Long? = 7,
    resident: PersistentSet<AdapterRef> = persistentSetOf(),
) {
    private val schedule = sidecarSchedule()
    private var lastRequestNumber = 0L
    private var now = Timestamp(0)

    var tables = SidecarTables(InstanceName("engine-1"), settings)
        private set

    var effects: List<SidecarEffect> = emptyList()
        private set

    init {
        tick(SidecarInput.LinkOpened(LINK), SidecarInput.UpstreamProbed(resident))
        fencingToken?.let { tick(SidecarInput.FencingTokenReceived(it)) }
    }

    fun advance(duration: Duration) {
        now += duration
        tick()
    }

    fun tick(vararg inputs: SidecarInput) {
        now += 1.milliseconds
        val step = schedule.run(Tick(now, inputs.toList().toPersistentList()), tables)
        tables = step.tables
        effects = step.effects
    }

    fun dispatch(adapter: String, account: String = "large", idempotent: Boolean = true): RunId {
        lastRequestNumber += 1
        val run = RunId(RequestId(Incarnation("entry-1.a"), lastRequestNumber), 1)
        val work = Work.Generation(GenerationApi.CHAT, isStreamed = true, 1, 10, includeUsage = false, ByteString())
        val route = RouteName("route-$adapter")
        val command = SidecarCommand.Dispatch(run, AccountId(account), route, adapterRef(adapter), idempotent, work)
        tick(SidecarInput.EntryCommandReceived(LINK, command))
        return run
    }

    fun completeLoad(adapter: String) = tick(SidecarInput.LoadCompleted(adapterRef(adapter), null))

    fun startedRuns(): List<RunId> = effects.filterIsInstance<SidecarEffect.StartRun>().map { it.command.run }

    fun requestedLoads(): List<String> =
        effects.filterIsInstance<SidecarEffect.LoadAdapter>().map { it.adapter.name }

    fun requestedUnloads(): List<String> =
        effects.filterIsInstance<SidecarEffect.UnloadAdapter>().map { it.adapter.name }

    fun refusals(): List<Refusal> =
        effects.filterIsInstance<SidecarEffect.SendReport>().map { it.report }.filterIsInstance<SidecarReport.Failed>()
            .map { it.refusal }

    companion object {
        val LINK = LinkId(1)

        fun adapterRef(adapter: String) = AdapterRef(adapter, "1")
    }
}
