package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.PersistentSet
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.AnswerHead
import org.ragwortbank.core.model.Usage

/** What happens to a sidecar from outside. */
sealed interface SidecarInput {
    /** An entry connected. */
    data class LinkOpened(val link: LinkId) : SidecarInput

    /** An entry's connection broke. */
    data class LinkClosed(val link: LinkId) : SidecarInput

    /** An entry sent [command]. */
    data class EntryCommandReceived(val link: LinkId, val command: SidecarCommand) : SidecarInput

    /** What the upstream does with a run. */
    sealed interface RunEvent : SidecarInput {
        /** The run concerned. */
        val run: RunId
    }

    /** The upstream sent the head of its answer. */
    data class RunStarted(override val run: RunId, val head: AnswerHead) : RunEvent

    /** The upstream sent a piece of its answer, worth [tokens] output tokens. */
    data class RunOutputReceived(override val run: RunId, val tokens: Long, val data: ByteString) : RunEvent

    /** The upstream's answer is complete. */
    data class RunCompleted(override val run: RunId, val usage: Usage?) : RunEvent

    /** The upstream's answer will not be complete. */
    data class RunFailed(override val run: RunId, val failure: RunFailure) : RunEvent

    /** The engine answered a load order; [failure] is null when it holds the adapter. */
    data class LoadCompleted(val adapter: AdapterRef, val failure: LoadFailure?) : SidecarInput

    /** The engine answered an unload order. */
    data class UnloadCompleted(val adapter: AdapterRef, val succeeded: Boolean) : SidecarInput

    /** The upstream was tried; [resident] are the adapters that it holds, null when it did not answer. */
    data class UpstreamProbed(val resident: PersistentSet<AdapterRef>?) : SidecarInput

    /** The key-value service gave this sidecar the number for its orders. */
    data class FencingTokenReceived(val fencingToken: Long) : SidecarInput

    /** The process shall stop gracefully. */
    data object StopRequested : SidecarInput
}
