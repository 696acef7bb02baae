package org.ragwortbank.node.port

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.StoreChange
import kotlin.time.Duration

/** Outcome of a read of the platform's store. */
sealed interface StoreReply {
    /** All that the store holds, as of [revision] at least. */
    data class Snapshot(val contents: PersistentList<StoreChange>, val revision: Long) : StoreReply

    /** What has changed up to [revision]. */
    data class Changes(val changes: PersistentList<StoreChange>, val revision: Long) : StoreReply

    /** The changes asked for are no longer known. */
    data object Compacted : StoreReply

    /** The store did not answer, or refused. */
    data class Failed(val cause: String) : StoreReply
}

/** Outcome of a write of this process's membership. */
sealed interface MembershipReply {
    /** The process is listed as long as it renews [lease]. */
    data class Registered(val lease: Long) : MembershipReply

    /** The lease has ended; the process must join again. */
    data object Expired : MembershipReply

    /** The store did not answer, or refused. */
    data class Failed(val cause: String) : MembershipReply
}

/** Calls of the platform's store; each answer comes on the event loop's thread, exactly once. */
interface StoreClient {
    /** Reads everything. */
    fun readAll(done: (StoreReply) -> Unit)

    /** Reads what has changed since [revision], waiting up to [maxWait] for a first change. */
    fun readChanges(revision: Long, maxWait: Duration, done: (StoreReply) -> Unit)

    /** Lists this process as [name] at [endpoint], for [lifetime] from each renewal on. */
    fun join(name: String, endpoint: Endpoint, lifetime: Duration, done: (MembershipReply) -> Unit)

    /** Renews [lease]. */
    fun renew(lease: Long, done: (MembershipReply) -> Unit)

    /** Ends [lease], so that the process is listed no more. */
    fun leave(lease: Long, done: (MembershipReply) -> Unit)
}
