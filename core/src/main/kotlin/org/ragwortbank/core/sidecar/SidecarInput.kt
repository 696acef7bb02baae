package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.PersistentSet
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Usage

/** What happens to a sidecar from outside. */
sealed interface SidecarInput {
    /** An entry connected. */
    data class LinkOpened(val link: LinkId) : SidecarInput

    /** An entry's connection broke. */
    data class LinkClosed(val link: LinkId) : SidecarInput

    /** An entry sent [command]. */
    data class EntrySaid(val link: LinkId, val command: SidecarCommand) : SidecarInput

    /** What the upstream does with a run. */
    sealed interface OfRun : SidecarInput {
        /** The run concerned. */
        val run: RunId
    }

    /** The upstream sent the head of its answer. */
    data class RunBegan(override val run: RunId, val head: ResponseHead) : OfRun

    /** The upstream sent a piece of its answer, worth [tokens] output tokens. */
    data class RunContinued(override val run: RunId, val tokens: Long, val data: ByteString) : OfRun

    /** The upstream's answer is complete. */
    data class RunCompleted(override val run: RunId, val usage: Usage?) : OfRun

    /** The upstream's answer will not be complete. */
    data class RunBroke(override val run: RunId, val failure: RunFailure) : OfRun

    /** The engine answered a load order; [failure] is null when it holds the adapter. */
    data class LoadEnded(val adapter: AdapterRef, val failure: LoadFailure?) : SidecarInput

    /** The engine answered an unload order. */
    data class UnloadEnded(val adapter: AdapterRef, val succeeded: Boolean) : SidecarInput

    /** The upstream was tried; [resident] are the adapters that it holds, null when it did not answer. */
    data class Probed(val resident: PersistentSet<AdapterRef>?) : SidecarInput

    /** The key-value service gave this sidecar the number for its orders. */
    data class FencingGiven(val number: Long) : SidecarInput

    /** The process shall stop gracefully. */
    data object StopAsked : SidecarInput
}
