package org.ragwortbank.node.gateway

import io.netty.channel.EventLoop
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.port.StoreClient
import org.ragwortbank.node.port.StoreReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Posts the contents of the platform's store and then its changes as inputs.
 *
 * One request covers configuration, upstreams, versions and members. Upstreams write so often that a request repeated
 * at once would return after each single write; the delay between requests batches these writes.
 *
 * @property readDelay returns the delay between a reply and the next request
 */
class StoreWatcher(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val now: () -> Timestamp,
    private val readDelay: () -> Duration,
    private val post: (GatewayInput) -> Unit,
) {
    private val availability = StoreAvailability()
    private val pacing = ReadPacing(loop, now)
    private var isStopped = false
    private var isReadingAll = false

    /** Reads the whole store and then its changes until [stop]. */
    fun start() = readAll()

    /** Sends no further requests. */
    fun stop() {
        isStopped = true
    }

    /** Reads the changes since the last read without waiting for one. */
    fun refresh() {
        if (!isStopped) pacing.request()
    }

    /** Reads the whole store at once, because it has come back from an older copy. */
    fun onNewEra() {
        if (!isReadingAll) readAll()
    }

    /** A read that is under way notices a new era by itself. */
    private fun readAll() {
        if (isStopped) return
        val requestedAt = now()
        val read = pacing.beginAll()
        isReadingAll = true
        store.readAll { reply ->
            if (pacing.end(read)) {
                isReadingAll = false
                onFullReadReply(reply, requestedAt)
            }
        }
    }

    private fun onFullReadReply(reply: StoreReply, requestedAt: Timestamp) =
        when (reply) {
            is StoreReply.FullRead -> {
                availability.onAnswer()
                Logs.platform.info("the whole store was read at {}, {} items", reply.position, reply.contents.size)
                post(GatewayInput.StoreRead(reply.contents, requestedAt, reply.position))
                pacing.pause(readDelay()) { readChanges(reply.position) }
            }
            is StoreReply.Changes, StoreReply.NewEra, StoreReply.Compacted, StoreReply.TooLarge ->
                pacing.pause(readDelay(), ::readAll)
            is StoreReply.Failed -> retryAfterFailure(reply.cause, ::readAll)
        }

    private fun readChanges(after: StorePosition) {
        if (isStopped) return
        val requestedAt = now()
        val read = pacing.begin { readChanges(after) }
        val maxWait = if (read.isAtOnce) Duration.ZERO else MAX_CHANGE_WAIT
        store.readChanges(after, maxWait) { reply ->
            if (pacing.end(read)) onChangesReply(reply, after, requestedAt)
        }
    }

    private fun onChangesReply(reply: StoreReply, after: StorePosition, requestedAt: Timestamp) =
        when (reply) {
            is StoreReply.Changes -> {
                availability.onAnswer()
                post(GatewayInput.StoreChanged(reply.changes, requestedAt, reply.position))
                pacing.pause(readDelay()) { readChanges(reply.position) }
            }
            StoreReply.NewEra -> readAll()
            is StoreReply.FullRead, StoreReply.Compacted -> {
                Logs.platform.info("the store no longer has the changes since {}, reading all of it", after)
                readAll()
            }
            StoreReply.TooLarge -> {
                Logs.platform.info("too many changes since {} for one reply, reading the whole store", after)
                readAll()
            }
            is StoreReply.Failed -> retryAfterFailure(reply.cause) { readChanges(after) }
        }

    private fun retryAfterFailure(cause: String, retry: () -> Unit) {
        availability.onFailure(cause)
        pacing.retry(RETRY_DELAY, retry)
    }

    private companion object {
        val RETRY_DELAY = 350.milliseconds
        val MAX_CHANGE_WAIT = 1.seconds
    }
}
