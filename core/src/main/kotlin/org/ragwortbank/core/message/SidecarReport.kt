package org.ragwortbank.core.message

import kotlinx.collections.immutable.PersistentSet
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.result.Refusal

/** What a sidecar tells an entry. */
sealed interface SidecarReport {
    /** A report about one run. */
    sealed interface RunReport : SidecarReport {
        /** The run that the report is about. */
        val run: RunId
    }

    /** The upstream has begun to answer. */
    data class Started(override val run: RunId, val head: ResponseHead) : RunReport

    /** Piece number [index] of the answer, counted from zero, worth [tokens] output tokens. */
    data class Chunk(override val run: RunId, val index: Long, val tokens: Long, val data: ByteString) : RunReport

    /** The answer is complete and had [chunkCount] pieces; [usage] is null where the upstream reports none. */
    data class Completed(override val run: RunId, val chunkCount: Long, val usage: Usage?) : RunReport

    /** There will be no complete answer. */
    data class Failed(override val run: RunId, val refusal: Refusal) : RunReport

    /**
     * The sidecar's state.
     *
     * @property resident adapters that the engine holds
     * @property queuedCount requests that wait
     * @property runningCount requests that the upstream is running
     * @property isAccepting whether new work is accepted
     */
    data class Digest(
        val resident: PersistentSet<AdapterRef>,
        val queuedCount: Int,
        val runningCount: Int,
        val isAccepting: Boolean,
    ) : SidecarReport
}
