package org.ragwortbank.cli.command

import org.ragwortbank.node.NodeProcess
import sun.misc.Signal
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Requests by signals to stop a process or to reload its settings.
 *
 * Callers may have sent requests to a process that is still starting, so it must not end without answering them:
 * signals that arrive before it runs are kept, and passed on once it does.
 *
 * @property reload reloads the settings of the running process
 */
internal class ProcessSignals<P : NodeProcess>(
    private val reload: (P) -> Unit,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val phase = AtomicReference<Phase<P>>(Phase.Starting())

    /** Whether a stop was requested before the process runs. */
    val isStopRequested: Boolean get() = (phase.get() as? Phase.Starting)?.stopRequestedAt != null

    /** Handles TERM, INT and HUP from now on; each would end the JVM at once otherwise. */
    fun handle() {
        stopSignals.forEach { name -> Signal.handle(Signal(name)) { requestStop() } }
        Signal.handle(Signal(RELOAD_SIGNAL)) { requestReload() }
    }

    /** Requests a stop of the process, now or as soon as it runs. */
    fun requestStop() {
        val requestedAt = timeSource.markNow()
        when (val previous = phase.getAndUpdate { it.withStop(requestedAt) }) {
            is Phase.Starting -> Unit
            is Phase.Running -> previous.process.stop(Duration.ZERO)
        }
    }

    /** Requests that the process reload its settings, now or as soon as it runs. */
    fun requestReload() {
        when (val previous = phase.getAndUpdate { it.withReload() }) {
            is Phase.Starting -> Unit
            is Phase.Running -> reload(previous.process)
        }
    }

    /** Passes on to [process], which has started, what was requested so far and what will be. */
    fun passOnTo(process: P) {
        val starting = phase.getAndSet(Phase.Running(process)) as? Phase.Starting ?: return
        if (starting.isReloadRequested) reload(process)
        starting.stopRequestedAt?.let { process.stop(it.elapsedNow()) }
    }

    private sealed interface Phase<out P> {
        fun withStop(requestedAt: TimeMark): Phase<P>

        fun withReload(): Phase<P>

        data class Starting(
            val stopRequestedAt: TimeMark? = null,
            val isReloadRequested: Boolean = false,
        ) : Phase<Nothing> {
            override fun withStop(requestedAt: TimeMark) = copy(stopRequestedAt = stopRequestedAt ?: requestedAt)

            override fun withReload() = copy(isReloadRequested = true)
        }

        class Running<P>(val process: P) : Phase<P> {
            override fun withStop(requestedAt: TimeMark) = this

            override fun withReload() = this
        }
    }

    private companion object {
        const val RELOAD_SIGNAL = "HUP"
        val stopSignals = listOf("TERM", "INT")
    }
}
