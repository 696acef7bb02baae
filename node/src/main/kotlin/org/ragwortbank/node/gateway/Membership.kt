package org.ragwortbank.node.gateway

import io.netty.channel.EventLoop
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.port.MembershipReply
import org.ragwortbank.node.port.StoreClient
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps this process listed in the platform's store, under a lease. */
internal class Membership(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val name: String,
    private val endpoint: Endpoint,
) {
    private var lease: Long? = null
    private var stopped = false

    /** Begins to join. */
    fun start() = join()

    /** Ends the lease. */
    fun stop() {
        stopped = true
        lease?.let { store.leave(it) { } }
    }

    private fun join() = store.join(name, endpoint, LIFETIME, ::take)

    private fun renew(lease: Long) = store.renew(lease, ::take)

    private fun take(reply: MembershipReply) {
        when {
            !stopped -> takeRunning(reply)
            reply is MembershipReply.Registered && lease == null -> store.leave(reply.lease) { }
            else -> Unit
        }
    }

    private fun takeRunning(reply: MembershipReply) {
        when (reply) {
            is MembershipReply.Registered -> listed(reply.lease)
            MembershipReply.Expired -> {
                Logs.platform.warn("the lease of this process has ended, joining again")
                lease = null
                join()
            }
            is MembershipReply.Failed -> {
                Logs.platform.debug("membership not confirmed: {}", reply.cause)
                again(RETRY_PAUSE)
            }
        }
    }

    private fun listed(granted: Long) {
        if (lease == null) Logs.platform.info("listed as {} at {} under lease {}", name, endpoint, granted)
        lease = granted
        again(RENEW_PAUSE)
    }

    private fun again(pause: Duration) {
        loop.schedule(::goOn, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** A process that has left the list must not come back to it, or the others would count on it after its end. */
    private fun goOn() {
        if (!stopped) lease?.let(::renew) ?: join()
    }

    private companion object {
        val LIFETIME = 6.seconds
        val RENEW_PAUSE = 2.seconds
        val RETRY_PAUSE = 700.milliseconds
    }
}
