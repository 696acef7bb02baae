package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.PersistentSet
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Usage
import kotlin.time.Duration

/** An external event that a sidecar handles. */
sealed interface SidecarInput {
    /** An entry opened a connection. */
    data class LinkOpened(val link: LinkId) : SidecarInput

    /** An entry's connection was closed or lost. */
    data class LinkClosed(val link: LinkId) : SidecarInput

    /** An entry sent [command]. */
    data class EntryCommandReceived(val link: LinkId, val command: SidecarCommand) : SidecarInput

    /** An event of a run at the upstream. */
    sealed interface RunEvent : SidecarInput {
        /** The run that the event belongs to. */
        val run: RunId
    }

    /** The upstream sent the response head. */
    data class RunStarted(override val run: RunId, val head: ResponseHead) : RunEvent

    /** The upstream sent a chunk of the response with [tokens] output tokens. */
    data class RunOutputReceived(override val run: RunId, val tokens: Long, val data: ByteString) : RunEvent

    /** The response is complete; [usage] is null where the upstream reports none. */
    data class RunCompleted(override val run: RunId, val usage: Usage?) : RunEvent

    /** The run failed; no complete response will follow. */
    data class RunFailed(override val run: RunId, val failure: RunFailure) : RunEvent

    /** A load command has completed; [failure] is null if the adapter is resident. */
    data class LoadCompleted(val adapter: AdapterRef, val failure: LoadFailure?) : SidecarInput

    /** An unload command has completed. */
    data class UnloadCompleted(val adapter: AdapterRef, val succeeded: Boolean) : SidecarInput

    /** A probe has completed; [resident] are the resident adapters, null if the upstream did not answer. */
    data class UpstreamProbed(val resident: PersistentSet<AdapterRef>?) : SidecarInput

    /** The key-value service issued the fencing token of this sidecar. */
    data class FencingTokenReceived(val fencingToken: Long) : SidecarInput

    /** The process was asked to drain and stop, [requestedAgo] before this input. */
    data class StopRequested(val requestedAgo: Duration = Duration.ZERO) : SidecarInput
}
