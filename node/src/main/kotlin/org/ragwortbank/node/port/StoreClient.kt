package org.ragwortbank.node.port

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import kotlin.time.Duration

/** Outcome of a read of the platform's store. */
sealed interface StoreReply {
    /** Everything in the store. Items are of [position] or later, not a snapshot of one moment. */
    data class FullRead(val contents: PersistentList<StoreChange>, val position: StorePosition) : StoreReply

    /** The changes up to [position]. */
    data class Changes(val changes: PersistentList<StoreChange>, val position: StorePosition) : StoreReply

    /** The store has come back from an older copy: all that was read before may be missing there, or be another. */
    data object NewEra : StoreReply

    /** The store no longer keeps the requested changes. */
    data object Compacted : StoreReply

    /** The requested changes are more than one reply may hold; they can only grow. */
    data object TooLarge : StoreReply

    /** The store did not answer, or refused. */
    data class Failed(val cause: String) : StoreReply
}

/** Outcome of a write of this process's membership record. */
sealed interface MembershipReply {
    /** The process is a member as long as it renews [lease]. */
    data class Registered(val lease: Long) : MembershipReply

    /** The lease has expired; the process must join again. */
    data object Expired : MembershipReply

    /** The store did not answer, or refused. */
    data class Failed(val cause: String) : MembershipReply
}

/** Outcome of a write that keeps or drops a block. */
sealed interface BlockReply {
    /** The store is as asked for. */
    data object Done : BlockReply

    /** The store did not answer, or refused. */
    data class Failed(val cause: String) : BlockReply
}

/** Client of the platform's store. Each call's outcome is delivered exactly once, on the event loop's thread. */
interface StoreClient : StreamStore {
    /** Calls [observer] before the outcome of each call that shows that the store has come back from an older copy. */
    fun observeNewEras(observer: () -> Unit)

    /** Reads the whole store. */
    fun readAll(onReply: (StoreReply) -> Unit)

    /** Reads the changes since [after], waiting up to [maxWait] for a first change. */
    fun readChanges(after: StorePosition, maxWait: Duration, onReply: (StoreReply) -> Unit)

    /** Registers this process as [name] at [endpoint] under a lease that expires [lifetime] after its last renewal. */
    fun join(name: String, endpoint: Endpoint, lifetime: Duration, onReply: (MembershipReply) -> Unit)

    /** Renews [lease]. */
    fun renew(lease: Long, onReply: (MembershipReply) -> Unit)

    /** Keeps [trait] among those whose requests are refused, until [dropBlock]. */
    fun saveBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit)

    /** Drops [trait] from those whose requests are refused. */
    fun dropBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit)

    /** Revokes [lease], which removes the process from the members. */
    fun leave(lease: Long, onReply: (MembershipReply) -> Unit)
}
