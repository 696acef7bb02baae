package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class SidecarSystemsTest {
    private val sidecar = SidecarFixture()

    @Test
    fun `given a cold adapter, then it is loaded once and the run starts when it is resident`() {
        val first = sidecar.dispatch("a")
        assertEquals(listOf("a"), sidecar.requestedLoads())
        val second = sidecar.dispatch("a")
        assertEquals(emptyList(), sidecar.requestedLoads())
        sidecar.completeLoad("a")
        assertEquals(listOf(first, second), sidecar.startedRuns())
    }

    @Test
    fun `given full slots, then the adapter that was idle for longest is dropped and no other`() {
        listOf("a", "b").forEach { runToCompletion(it) }
        sidecar.dispatch("c")
        assertEquals(listOf("a"), sidecar.requestedUnloads())
        sidecar.tick(SidecarInput.UnloadCompleted(SidecarFixture.adapterRef("a"), succeeded = true))
        assertEquals(listOf("c"), sidecar.requestedLoads())
    }

    @Test
    fun `given only serving adapters, then none is dropped until a run ends`() {
        val run = dispatchAndLoad("a")
        dispatchAndLoad("b")
        sidecar.dispatch("c")
        assertEquals(emptyList(), sidecar.requestedUnloads())
        sidecar.tick(SidecarInput.RunCompleted(run, null))
        assertEquals(listOf("a"), sidecar.requestedUnloads())
    }

    @Test
    fun `given a failed load, then waiting runs are refused as not run`() {
        sidecar.dispatch("a")
        sidecar.tick(SidecarInput.LoadCompleted(SidecarFixture.adapterRef("a"), LoadFailure.REFUSED))
        assertEquals(ResultCode.ADAPTER_LOAD_FAILED, sidecar.refusals().single().code)
        assertEquals(Execution.NOT_RUN, sidecar.refusals().single().execution)
    }

    @Test
    fun `given an engine that forgot the adapter, then the run waits for another load and is not lost`() {
        val run = dispatchAndLoad("a")
        sidecar.tick(SidecarInput.RunFailed(run, RunFailure.AdapterMissing))
        assertEquals(listOf("a"), sidecar.requestedLoads())
        sidecar.completeLoad("a")
        assertEquals(listOf(run), sidecar.startedRuns())
    }

    @Test
    fun `given a cancelled run that waits, then it is truthfully not run`() {
        val run = sidecar.dispatch("a")
        sidecar.tick(SidecarInput.EntryCommandReceived(SidecarFixture.LINK, SidecarCommand.Cancel(run)))
        assertEquals(Execution.NOT_RUN, sidecar.refusals().single().execution)
        sidecar.completeLoad("a")
        assertEquals(emptyList(), sidecar.startedRuns())
    }

    @Test
    fun `given a run that may not be repeated and has started, then it is not cancelled`() {
        val run = sidecar.dispatch("a", idempotent = false)
        sidecar.completeLoad("a")
        sidecar.tick(SidecarInput.EntryCommandReceived(SidecarFixture.LINK, SidecarCommand.Cancel(run)))
        assertTrue(sidecar.effects.none { it is SidecarEffect.CancelRun })
    }

    @Test
    fun `given a lost link, then waiting runs are dropped and never started`() {
        sidecar.dispatch("a")
        sidecar.tick(SidecarInput.LinkClosed(SidecarFixture.LINK))
        sidecar.completeLoad("a")
        assertEquals(emptyList(), sidecar.startedRuns())
    }

    @Test
    fun `given an account with many waiting runs, then another account's run is next`() {
        dispatchAndLoad("a")
        dispatchAndLoad("a")
        repeat(5) { sidecar.dispatch("a", account = "large") }
        val small = sidecar.dispatch("a", account = "small")
        sidecar.tick(SidecarInput.RunCompleted(sidecar.tables.runs.keys.first { it !in sidecar.tables.queue }, null))
        assertEquals(listOf(small), sidecar.startedRuns())
    }

    @Test
    fun `given an account that was idle while another was served, then it does not take all turns on its return`() {
        runToCompletion("a", account = "small")
        repeat(20) { runToCompletion("a") }
        repeat(2) { dispatchAndLoad("a") }
        repeat(4) { sidecar.dispatch("a", account = "large") }
        repeat(4) { sidecar.dispatch("a", account = "small") }
        val turns = (1..4).flatMap {
            val runningRun = sidecar.tables.runs.values.first { it.isRunning }
            sidecar.tick(SidecarInput.RunCompleted(runningRun.command.run, null))
            sidecar.startedRuns().map { sidecar.tables.runs.getValue(it).command.account.value }
        }
        assertEquals(listOf("large", "large", "small", "small"), turns.sorted())
    }

    @Test
    fun `given no fencing number, then what is resident is served and the rest is truthfully not run`() {
        val resident = persistentSetOf(SidecarFixture.adapterRef("warm"))
        val sidecarWithoutToken = SidecarFixture(fencingToken = null, resident = resident)
        val residentRun = sidecarWithoutToken.dispatch("warm")
        assertEquals(listOf(residentRun), sidecarWithoutToken.startedRuns())
        sidecarWithoutToken.dispatch("cold")
        assertEquals(emptyList(), sidecarWithoutToken.requestedLoads())
        sidecarWithoutToken.advance(2.seconds)
        assertEquals(ResultCode.NO_FENCING, sidecarWithoutToken.refusals().single().code)
        assertEquals(Execution.NOT_RUN, sidecarWithoutToken.refusals().single().execution)
    }

    @Test
    fun `given an upstream that is down, then the sidecar probes it and takes stock when it answers`() {
        val run = dispatchAndLoad("a")
        sidecar.tick(SidecarInput.RunFailed(run, RunFailure.NotConnected))
        assertEquals(Execution.NOT_RUN, sidecar.refusals().single().execution)
        assertTrue(SidecarEffect.ProbeUpstream in sidecar.effects)
        sidecar.tick(SidecarInput.UpstreamProbed(persistentSetOf()))
        assertEquals(emptySet(), sidecar.tables.adapters.keys)
    }

    private fun dispatchAndLoad(adapter: String, account: String = "large") =
        sidecar.dispatch(adapter, account).also {
            val state = sidecar.tables.adapters[SidecarFixture.adapterRef(adapter)]?.state
            if (state == AdapterState.LOADING) sidecar.completeLoad(adapter)
        }

    private fun runToCompletion(adapter: String, account: String = "large") =
        sidecar.tick(SidecarInput.RunCompleted(dispatchAndLoad(adapter, account), null))
}
