package org.ragwortbank.core.sidecar

import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AdapterRef

/** What a sidecar does to the outside; the node performs these in order. */
sealed interface SidecarEffect {
    /** Send [report] to the entry on [link]. */
    data class SendReport(val link: LinkId, val report: SidecarReport) : SidecarEffect

    /** Send [command] to the upstream. */
    data class StartRun(val command: SidecarCommand.Dispatch) : SidecarEffect

    /** Break off [run] at the upstream. */
    data class CancelRun(val run: RunId) : SidecarEffect

    /** Order the engine to load [adapter]. */
    data class LoadAdapter(val adapter: AdapterRef, val fencingToken: Long) : SidecarEffect

    /** Order the engine to drop [adapter]. */
    data class UnloadAdapter(val adapter: AdapterRef, val fencingToken: Long) : SidecarEffect

    /** Try whether the upstream answers and which adapters it holds. */
    data object ProbeUpstream : SidecarEffect

    /** Write [line] to the log. */
    data class Log(val line: LogLine) : SidecarEffect

    /** All work is done after a stop was asked for. */
    data object Stopped : SidecarEffect
}
