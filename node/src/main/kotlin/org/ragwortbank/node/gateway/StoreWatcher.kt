package org.ragwortbank.node.gateway

import io.netty.channel.EventLoop
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.port.StoreClient
import org.ragwortbank.node.port.StoreReply
import java.util.concurrent.TimeUnit
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
    private var isStoreUnavailable = false
    private var isStopped = false
    private var isReadingAll = false

    /** Number of the latest read; replies to earlier ones, and what was scheduled after them, are ignored. */
    private var readNumber = 0L
    private val pacing = ReadPacing(loop, now)

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
        if (!isReadingAll && !isStopped) readAll()
    }

    /** A read that is under way notices a new era by itself. */
    private fun readAll() {
        val requestedAt = now()
        val number = ++readNumber
        isReadingAll = true
        store.readAll { reply ->
            if (number == readNumber) {
                isReadingAll = false
                onFullReadReply(reply, requestedAt)
            }
        }
    }

    private fun onFullReadReply(reply: StoreReply, requestedAt: Timestamp) =
        when (reply) {
            is StoreReply.FullRead -> {
                recordSuccess()
                Logs.platform.info("the whole store was read at {}, {} items", reply.position, reply.contents.size)
                post(GatewayInput.StoreRead(reply.contents, requestedAt, reply.position))
                pause { readChanges(reply.position) }
            }
            is StoreReply.Changes, StoreReply.NewEra, StoreReply.Compacted, StoreReply.TooLarge ->
                schedule(readDelay(), ::readAll)
            is StoreReply.Failed -> retryAfterFailure(reply.cause, ::readAll)
        }

    private fun readChanges(after: StorePosition) {
        val requestedAt = now()
        val number = ++readNumber
        val read = pacing.begin(ifLatest { readChanges(after) })
        val maxWait = if (read.isAtOnce) Duration.ZERO else MAX_CHANGE_WAIT
        store.readChanges(after, maxWait) { reply ->
            if (pacing.end(read) && number == readNumber) onChangesReply(reply, after, requestedAt)
        }
    }

    private fun onChangesReply(reply: StoreReply, after: StorePosition, requestedAt: Timestamp) =
        when (reply) {
            is StoreReply.Changes -> {
                recordSuccess()
                post(GatewayInput.StoreChanged(reply.changes, requestedAt, reply.position))
                pause { readChanges(reply.position) }
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
        if (!isStoreUnavailable) Logs.platform.warn("the store does not answer: {}", cause)
        isStoreUnavailable = true
        schedule(RETRY_DELAY, retry)
    }

    private fun recordSuccess() {
        if (isStoreUnavailable) Logs.platform.info("the store answers again")
        isStoreUnavailable = false
    }

    private fun pause(read: () -> Unit) {
        if (!isStopped) pacing.pause(readDelay(), ifLatest(read))
    }

    private fun schedule(delay: Duration, action: () -> Unit) {
        if (!isStopped) loop.schedule(ifLatest(action), delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Performs [action] unless another read has begun by then. */
    private fun ifLatest(action: () -> Unit): () -> Unit {
        val number = readNumber
        return { if (number == readNumber) action() }
    }

    private companion object {
        val RETRY_DELAY = 350.milliseconds
        val MAX_CHANGE_WAIT = 1.seconds
    }
}
