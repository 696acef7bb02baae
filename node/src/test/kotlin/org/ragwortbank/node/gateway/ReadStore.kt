package org.ragwortbank.node.gateway

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.node.port.BlockReply
import org.ragwortbank.node.port.MembershipReply
import org.ragwortbank.node.port.StoreClient
import org.ragwortbank.node.port.StoreReply
import org.ragwortbank.node.port.StreamStore
import kotlin.time.Duration

/** A store that records the reads of it, and replies when the test says so. */
internal class ReadStore : StoreClient, StreamStore by IdleStreamStore {
    private var replies = emptyList<(StoreReply) -> Unit>()

    /** The reads so far, such as `all` or `changes 7, wait 1s`. */
    var reads = emptyList<String>()
        private set

    /** Replies to the read with [index] that everything has been read up to [revision]. */
    fun replyAll(index: Int, revision: Long) = replies[index](StoreReply.FullRead(persistentListOf(), at(revision)))

    /** Replies to the read with [index] that there are no changes up to [revision]. */
    fun replyChanges(index: Int, revision: Long) =
        replies[index](StoreReply.Changes(persistentListOf(), at(revision)))

    /** Replies to the read with [index] that it has failed. */
    fun fail(index: Int) = replies[index](StoreReply.Failed("down"))

    override fun readAll(onReply: (StoreReply) -> Unit) = record("all", onReply)

    override fun readChanges(after: StorePosition, maxWait: Duration, onReply: (StoreReply) -> Unit) =
        record("changes ${after.revision}, wait $maxWait", onReply)

    override fun observeNewEras(observer: () -> Unit) = Unit

    override fun join(name: String, endpoint: Endpoint, lifetime: Duration, onReply: (MembershipReply) -> Unit) = Unit

    override fun renew(lease: Long, onReply: (MembershipReply) -> Unit) = Unit

    override fun saveBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit) = Unit

    override fun dropBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit) = Unit

    override fun leave(lease: Long, onReply: (MembershipReply) -> Unit) = Unit

    private fun at(revision: Long) = StorePosition(era = 1, revision)

    private fun record(read: String, onReply: (StoreReply) -> Unit) {
        reads = reads + read
        replies = replies + onReply
    }
}
