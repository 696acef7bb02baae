package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AdapterRef

/** A side effect that a sidecar decided on; the node performs effects in the order given. */
sealed interface SidecarEffect {
    /** Send [report] to the entry on [link]. */
    data class SendReport(val link: LinkId, val report: SidecarReport) : SidecarEffect

    /** Start the run of [command] at the upstream. */
    data class StartRun(val command: SidecarCommand.Dispatch) : SidecarEffect

    /** Cancel [run] at the upstream. */
    data class CancelRun(val run: RunId) : SidecarEffect

    /** Command the engine to load [adapter]. */
    data class LoadAdapter(val adapter: AdapterRef, val fencingToken: Long) : SidecarEffect

    /** Command the engine to unload [adapter]. */
    data class UnloadAdapter(val adapter: AdapterRef, val fencingToken: Long) : SidecarEffect

    /** Check whether the upstream is reachable and which adapters are resident. */
    data object ProbeUpstream : SidecarEffect

    /** Write [line] to the log. */
    data class Log(val line: LogLine) : SidecarEffect

    /** The drain is over; end the process. */
    data object Stopped : SidecarEffect
}
