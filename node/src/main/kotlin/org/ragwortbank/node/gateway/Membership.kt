package org.ragwortbank.node.gateway

import io.netty.channel.EventLoop
import org.ragwortbank.core.hash.RendezvousHash
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

    /** Number of the latest call; replies to earlier ones, and what was scheduled after them, are ignored. */
    private var callNumber = 0L

    /** Joins, and keeps renewing the lease from then on. */
    fun start() = join()

    /** Revokes the lease and stops renewing it. */
    fun stop() {
        isStopped = true
        lease?.let { store.leave(it) { } }
    }

    /**
     * Joins again, because the store has come back from an older copy: that may lack the entry of this process, and may
     * have granted the lease to another one since.
     */
    fun onNewEra() {
        if (isStopped || callNumber == 0L) return
        lease = null
        callNumber++
        scheduleNext(rejoinDelay(name))
    }

    private fun join() {
        val number = ++callNumber
        store.join(name, endpoint, LEASE_LIFETIME) { onReply(it, number) }
    }

    private fun renew(lease: Long) {
        val number = ++callNumber
        store.renew(lease) { onReply(it, number) }
    }

    private fun onReply(reply: MembershipReply, number: Long) {
        when {
            number != callNumber -> Unit
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
        val number = callNumber
        loop.schedule({ if (number == callNumber) renewOrJoin() }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** A process that has left must not join again, or the other members would count on it after it has stopped. */
    private fun renewOrJoin() {
        if (!isStopped) lease?.let(::renew) ?: join()
    }

    companion object {
        private val LEASE_LIFETIME = 6.seconds
        private val RENEW_INTERVAL = 2.seconds
        private val RETRY_DELAY = 700.milliseconds
        private const val REJOIN_SPREAD_MILLIS = 500L

        /** Time from a new era until the member [name] joins again: the store takes few writes at a time. */
        fun rejoinDelay(name: String): Duration =
            RendezvousHash.hashOf(name).mod(REJOIN_SPREAD_MILLIS).milliseconds
    }
}
