package org.ragwortbank.core.pressure

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.pacing.SendLimit
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.serving.Feature

/**
 * Bounds the tokens that are under way at an engine by its memory. An engine that holds more preempts, refuses or ends.
 *
 * An engine without a request under way always gets one.
 */
class TokenMemoryLimit : SendLimit {
    override fun roomFor(context: SelectionContext, upstream: UpstreamRow): Int {
        val memory = context.service?.engine?.promptMemoryTokens ?: 0
        val tokens = context.request.call.tokens ?: 0
        val isInForce = context.tables.limitsPressure && memory > 0 && tokens > 0
        if (!isInForce) return SendLimit.UNBOUNDED
        val free = minOf(memory - upstream.tokensInFlight, freeOfFleet(context, upstream, memory))
        return (free / tokens).toRoom(upstream)
    }

    /**
     * What this gateway may send of the memory that was free at the latest digest, where waiting requests are taken
     * to be as large as this one. All gateways read the same digest, so that each uses its share, and one request at
     * least.
     */
    private fun freeOfFleet(context: SelectionContext, upstream: UpstreamRow, memory: Long): Long {
        val digest = upstream.freshDigest(context.now, context.digestLifetime)
        val usedTokens = digest?.usedTokens ?: return memory
        val tokens = context.request.call.tokens ?: 0
        val free = memory - usedTokens - digest.queuedRequests * tokens
        val share = maxOf(free * SHARES / context.gatewayCount, tokens)
        return minOf(free, share) - upstream.tokensSinceDigest
    }
}

/**
 * Bounds the requests of this gateway at an upstream by its share of the connections that the upstream accepts.
 * Gateways are unequally busy, so that each may use a multiple of an equal share, and one connection at least.
 */
class ConnectionLimit : SendLimit {
    override fun roomFor(context: SelectionContext, upstream: UpstreamRow): Int {
        val connections = context.service?.maxConnections
        if (connections == null || !context.tables.limitsPressure) return SendLimit.UNBOUNDED
        val share = (connections * SHARES / context.gatewayCount).coerceIn(1L, connections.toLong())
        return (share - upstream.inFlight).toRoom(upstream)
    }
}

/** Equal shares that one gateway may use, as gateways are unequally busy. */
private const val SHARES = 2L

private val GatewayTables.limitsPressure: Boolean get() = Feature.PRESSURE in settings.features

/** The room as a count, 1 at least where nothing is known to be under way. */
private fun Long.toRoom(upstream: UpstreamRow): Int {
    val minimum = if (upstream.load == 0) 1L else 0L
    return coerceIn(minimum, SendLimit.UNBOUNDED.toLong()).toInt()
}
