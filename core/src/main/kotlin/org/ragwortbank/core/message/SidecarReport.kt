package org.ragwortbank.core.message

import kotlinx.collections.immutable.PersistentSet
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.result.Refusal

/** Reports that a sidecar sends to an entry. */
sealed interface SidecarReport {
    /** A report about one run. */
    sealed interface RunReport : SidecarReport {
        /** The run that the report is about. */
        val run: RunId
    }

    /** The upstream has started to answer; [head] is the head of its response. */
    data class Started(override val run: RunId, val head: ResponseHead) : RunReport

    /** Chunk number [index] of the answer, counted from zero, which counts as [tokens] output tokens. */
    data class Chunk(override val run: RunId, val index: Long, val tokens: Long, val data: ByteString) : RunReport

    /** The answer is complete with [chunkCount] chunks; [usage] is null if the upstream reports none. */
    data class Completed(override val run: RunId, val chunkCount: Long, val usage: Usage?) : RunReport

    /** The run ended without a complete answer. */
    data class Failed(override val run: RunId, val refusal: Refusal) : RunReport

    /**
     * A digest of the sidecar's state.
     *
     * @property resident adapters that are loaded in the engine
     * @property queuedCount requests waiting in the sidecar's queue
     * @property runningCount requests that the upstream is running
     * @property isAccepting whether the sidecar accepts new requests
     */
    data class Digest(
        val resident: PersistentSet<AdapterRef>,
        val queuedCount: Int,
        val runningCount: Int,
        val isAccepting: Boolean,
    ) : SidecarReport
}
