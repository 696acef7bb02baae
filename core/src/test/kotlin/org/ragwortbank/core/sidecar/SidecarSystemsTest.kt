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
    fun `given an adapter that is not resident, then it is loaded once and the run starts when it is resident`() {
        val first = sidecar.dispatch("a")
        assertEquals(listOf("a"), sidecar.requestedLoads())
        val second = sidecar.dispatch("a")
        assertEquals(emptyList(), sidecar.requestedLoads())
        sidecar.completeLoad("a")
        assertEquals(listOf(first, second), sidecar.startedRuns())
    }

    @Test
    fun `given no free slots, then only the least recently used idle adapter is unloaded`() {
        listOf("a", "b").forEach { runToCompletion(it) }
        sidecar.dispatch("c")
        assertEquals(listOf("a"), sidecar.requestedUnloads())
        sidecar.tick(SidecarInput.UnloadCompleted(SidecarFixture.adapterRef("a"), succeeded = true))
        assertEquals(listOf("c"), sidecar.requestedLoads())
    }

    @Test
    fun `given runs on all adapters, then none is unloaded until a run completes`() {
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
    fun `given an engine that lost the adapter, then the run is requeued and starts after another load`() {
        val run = dispatchAndLoad("a")
        sidecar.tick(SidecarInput.RunFailed(run, RunFailure.AdapterMissing))
        assertEquals(listOf("a"), sidecar.requestedLoads())
        sidecar.completeLoad("a")
        assertEquals(listOf(run), sidecar.startedRuns())
    }

    @Test
    fun `given a waiting run that is cancelled, then it is reported as not run`() {
        val run = sidecar.dispatch("a")
        sidecar.tick(SidecarInput.EntryCommandReceived(SidecarFixture.LINK, SidecarCommand.Cancel(run)))
        assertEquals(Execution.NOT_RUN, sidecar.refusals().single().execution)
        sidecar.completeLoad("a")
        assertEquals(emptyList(), sidecar.startedRuns())
    }

    @Test
    fun `given a started run that is not idempotent, then it is not cancelled`() {
        val run = sidecar.dispatch("a", idempotent = false)
        sidecar.completeLoad("a")
        sidecar.tick(SidecarInput.EntryCommandReceived(SidecarFixture.LINK, SidecarCommand.Cancel(run)))
        assertTrue(sidecar.effects.none { it is SidecarEffect.CancelRun })
    }

    @Test
    fun `given a closed link, then its waiting runs are removed and never started`() {
        sidecar.dispatch("a")
        sidecar.tick(SidecarInput.LinkClosed(SidecarFixture.LINK))
        sidecar.completeLoad("a")
        assertEquals(emptyList(), sidecar.startedRuns())
    }

    @Test
    fun `given an account with many waiting runs, then the run of another account starts next`() {
        dispatchAndLoad("a")
        dispatchAndLoad("a")
        repeat(5) { sidecar.dispatch("a", account = "large") }
        val small = sidecar.dispatch("a", account = "small")
        sidecar.tick(SidecarInput.RunCompleted(sidecar.tables.runs.keys.first { it !in sidecar.tables.queue }, null))
        assertEquals(listOf(small), sidecar.startedRuns())
    }

    @Test
    fun `given an account that was idle while another was served, then it gains no priority from its idle time`() {
        runToCompletion("a", account = "small")
        repeat(20) { runToCompletion("a") }
        repeat(2) { dispatchAndLoad("a") }
        repeat(4) { sidecar.dispatch("a", account = "large") }
        repeat(4) { sidecar.dispatch("a", account = "small") }
        val servedAccounts = (1..4).flatMap {
            val runningRun = sidecar.tables.runs.values.first { it.isRunning }
            sidecar.tick(SidecarInput.RunCompleted(runningRun.command.run, null))
            sidecar.startedRuns().map { sidecar.tables.runs.getValue(it).command.account.value }
        }
        assertEquals(listOf("large", "large", "small", "small"), servedAccounts.sorted())
    }

    @Test
    fun `given no fencing token, then runs on resident adapters start and other runs are refused as not run`() {
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
    fun `given an unreachable upstream, then the sidecar probes it and reconciles its adapters with the answer`() {
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
