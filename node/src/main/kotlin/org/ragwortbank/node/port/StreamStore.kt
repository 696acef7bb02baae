package org.ragwortbank.node.port

import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.versions.ServiceVersions
import org.ragwortbank.core.versions.StreamRecord
import kotlin.time.Duration

/** Outcome of a conditional write of the software versions of a service. */
sealed interface VersionsReply {
    /** The store keeps them. */
    data object Saved : VersionsReply

    /** The store has others than those that the write was made for. */
    data object Superseded : VersionsReply

    /** The store did not answer, or refused. */
    data class Failed(val cause: String) : VersionsReply
}

/** Outcome of a request for a lease. */
sealed interface LeaseReply {
    /** The store removes what is written under [lease] when it ends. */
    data class Granted(val lease: Long) : LeaseReply

    /** The store did not answer, or refused. */
    data class Failed(val cause: String) : LeaseReply
}

/** Outcome of a write of a record of streams. */
sealed interface StreamRecordReply {
    /** The store keeps it until the end of its lease. */
    data object Saved : StreamRecordReply

    /** Nothing was written, since the lease has ended. */
    data object LeaseEnded : StreamRecordReply

    /** The store did not answer, or refused; it may have it, or get it later. */
    data class Failed(val cause: String) : StreamRecordReply
}

/**
 * The part of the platform's store that tells at which software version streams began. Each call's outcome is delivered
 * exactly once, on the event loop's thread.
 */
interface StreamStore {
    /** Keeps [versions] of [service] if what the store has is of [expectedRevision]; 0 if it must have none. */
    fun saveVersions(
        service: ServiceName,
        versions: ServiceVersions,
        expectedRevision: Long,
        onReply: (VersionsReply) -> Unit,
    )

    /** Requests a lease that ends after [lifetime]. */
    fun grantLease(lifetime: Duration, onReply: (LeaseReply) -> Unit)

    /** Keeps all [records], or none of them, until [lease] ends. */
    fun saveStreamRecords(records: List<StreamRecord>, lease: Long, onReply: (StreamRecordReply) -> Unit)
}
