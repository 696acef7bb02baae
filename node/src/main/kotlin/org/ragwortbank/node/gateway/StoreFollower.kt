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
 * Keeps the tables up to date with the platform's store.
 *
 * One question covers configuration, upstreams, versions and members. Upstreams write so often that a question that
 * is asked again at once would be answered for each of their writes; a pause gathers those.
 */
internal class StoreFollower(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val now: () -> Timestamp,
    private val post: (GatewayInput) -> Unit,
) {
    private var lost = false
    private var stopped = false

    /** Begins to read. */
    fun start() = readAll()

    /** Asks nothing more. */
    fun stop() {
        stopped = true
    }

    private fun readAll() {
        val askedAt = now()
        store.readAll { reply ->
            when (reply) {
                is StoreReply.Snapshot -> {
                    regained()
                    post(GatewayInput.StoreRead(reply.contents, askedAt))
                    after(PAUSE) { readChanges(reply.revision) }
                }
                is StoreReply.Changes, StoreReply.Compacted -> after(PAUSE, ::readAll)
                is StoreReply.Failed -> failed(reply.cause, ::readAll)
            }
        }
    }

    private fun readChanges(revision: Long) {
        val askedAt = now()
        store.readChanges(revision, WAIT) { reply ->
            when (reply) {
                is StoreReply.Changes -> {
                    regained()
                    post(GatewayInput.StoreChanged(reply.changes, askedAt))
                    after(PAUSE) { readChanges(reply.revision) }
                }
                is StoreReply.Snapshot, StoreReply.Compacted -> {
                    Logs.platform.info("the store knows no changes since {}, reading everything", revision)
                    readAll()
                }
                is StoreReply.Failed -> failed(reply.cause) { readChanges(revision) }
            }
        }
    }

    private fun failed(cause: String, again: () -> Unit) {
        if (!lost) Logs.platform.warn("the store does not answer: {}", cause)
        lost = true
        after(RETRY_PAUSE, again)
    }

    private fun regained() {
        if (lost) Logs.platform.info("the store answers again")
        lost = false
    }

    private fun after(pause: Duration, action: () -> Unit) {
        if (!stopped) loop.schedule(action, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Leaves most of the shortest bound on leaving upstreams and configuration, 2 s. */
        val PAUSE = 750.milliseconds
        val RETRY_PAUSE = 350.milliseconds
        val WAIT = 1.seconds
    }
}
