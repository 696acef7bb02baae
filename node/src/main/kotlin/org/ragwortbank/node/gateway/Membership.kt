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

/** Keeps this process registered as a member in the platform's store, under a lease that it renews. */
internal class Membership(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val name: String,
    private val endpoint: Endpoint,
) {
    private var lease: Long? = null
    private var isStopped = false

    /** Joins, and keeps renewing the lease from then on. */
    fun start() = join()

    /** Revokes the lease and stops renewing it. */
    fun stop() {
        isStopped = true
        lease?.let { store.leave(it) { } }
    }

    private fun join() = store.join(name, endpoint, LEASE_LIFETIME, ::onReply)

    private fun renew(lease: Long) = store.renew(lease, ::onReply)

    private fun onReply(reply: MembershipReply) {
        when {
            !isStopped -> onReplyWhileRunning(reply)
            reply is MembershipReply.Registered && lease == null -> store.leave(reply.lease) { }
            else -> Unit
        }
    }

    private fun onReplyWhileRunning(reply: MembershipReply) {
        when (reply) {
            is MembershipReply.Registered -> onRegistered(reply.lease)
            MembershipReply.Expired -> {
                Logs.platform.warn("the membership lease of this process expired, joining again")
                lease = null
                join()
            }
            is MembershipReply.Failed -> {
                Logs.platform.debug("membership not confirmed: {}", reply.cause)
                scheduleNext(RETRY_DELAY)
            }
        }
    }

    private fun onRegistered(grantedLease: Long) {
        if (lease == null) Logs.platform.info("registered as {} at {} under lease {}", name, endpoint, grantedLease)
        lease = grantedLease
        scheduleNext(RENEW_INTERVAL)
    }

    private fun scheduleNext(delay: Duration) {
        loop.schedule(::renewOrJoin, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** A process that has left must not join again, or the other members would count on it after it has stopped. */
    private fun renewOrJoin() {
        if (!isStopped) lease?.let(::renew) ?: join()
    }

    private companion object {
        val LEASE_LIFETIME = 6.seconds
        val RENEW_INTERVAL = 2.seconds
        val RETRY_DELAY = 700.milliseconds
    }
}
