package org.ragwortbank.cli.command

import org.ragwortbank.node.ListenAddresses
import org.ragwortbank.node.NodeProcess
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against signals that end a process that starts, or are lost. */
class ProcessSignalsTest {
    private val events = AtomicReference(listOf<String>())
    private val time = TestTimeSource()
    private val signals = ProcessSignals<NodeProcess>({ record("reload") }, time)
    private val process = object : NodeProcess {
        override fun start(): ListenAddresses = error("not started by signals")

        override fun stop(requestedAgo: Duration) = record("stop $requestedAgo")

        override fun awaitTermination() = Unit
    }

    private fun record(event: String) {
        events.updateAndGet { it + event }
    }

    @Test
    fun `given signals during the start, then they are passed on after it with the age of the first stop`() {
        signals.requestStop()
        signals.requestReload()
        time += 300.milliseconds
        signals.requestStop()
        assertTrue(signals.isStopRequested)
        time += 100.milliseconds
        signals.passOnTo(process)
        assertEquals(listOf("reload", "stop 400ms"), events.get())
    }

    @Test
    fun `given a running process, then each signal is passed on at once`() {
        signals.passOnTo(process)
        assertFalse(signals.isStopRequested)
        signals.requestReload()
        signals.requestStop()
        assertEquals(listOf("reload", "stop 0s"), events.get())
    }
}
