package org.ragwortbank.node.gateway

import io.netty.channel.EventLoop
import org.ragwortbank.core.gateway.GatewayInput
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
internal class StoreWatcher(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val now: () -> Timestamp,
    private val readDelay: () -> Duration,
    private val post: (GatewayInput) -> Unit,
) {
    private var isStoreUnavailable = false
    private var isStopped = false
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

    private fun readAll() {
        val requestedAt = now()
        store.readAll { reply ->
            when (reply) {
                is StoreReply.FullRead -> {
                    recordSuccess()
                    post(GatewayInput.StoreRead(reply.contents, requestedAt))
                    pause { readChanges(reply.revision) }
                }
                is StoreReply.Changes, StoreReply.Compacted, StoreReply.TooLarge -> schedule(readDelay(), ::readAll)
                is StoreReply.Failed -> retryAfterFailure(reply.cause, ::readAll)
            }
        }
    }

    private fun readChanges(revision: Long) {
        val requestedAt = now()
        val read = pacing.begin { readChanges(revision) }
        val maxWait = if (read.isAtOnce) Duration.ZERO else MAX_CHANGE_WAIT
        store.readChanges(revision, maxWait) { reply ->
            if (!pacing.end(read)) return@readChanges
            when (reply) {
                is StoreReply.Changes -> {
                    recordSuccess()
                    post(GatewayInput.StoreChanged(reply.changes, requestedAt))
                    pause { readChanges(reply.revision) }
                }
                is StoreReply.FullRead, StoreReply.Compacted -> {
                    Logs.platform.info("the store no longer has the changes since {}, reading all of it", revision)
                    readAll()
                }
                StoreReply.TooLarge -> {
                    Logs.platform.info("too many changes since {} for one reply, reading the whole store", revision)
                    readAll()
                }
                is StoreReply.Failed -> retryAfterFailure(reply.cause) { readChanges(revision) }
            }
        }
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
        if (!isStopped) pacing.pause(readDelay(), read)
    }

    private fun schedule(delay: Duration, action: () -> Unit) {
        if (!isStopped) loop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        val RETRY_DELAY = 350.milliseconds
        val MAX_CHANGE_WAIT = 1.seconds
    }
}
