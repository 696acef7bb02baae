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
        val used = maxOf(upstream.tokensInFlight, fleetTokens(context, upstream, tokens))
        return ((memory - used) / tokens).toRoom(upstream)
    }

    /** What the engine's placer reported, with waiting requests taken to be as large as this one, and what followed. */
    private fun fleetTokens(context: SelectionContext, upstream: UpstreamRow, tokens: Long): Long {
        val digest = upstream.freshDigest(context.now, context.tables.engineDigestLifetime)
        val usedTokens = digest?.usedTokens ?: return 0
        return usedTokens + digest.queuedRequests * tokens + upstream.tokensSinceDigest
    }
}

/**
 * Bounds the requests of this gateway at an upstream by its share of the connections that the upstream accepts. Gateways
 * are unequally busy, so that each may use a multiple of an equal share.
 */
class ConnectionLimit : SendLimit {
    override fun roomFor(context: SelectionContext, upstream: UpstreamRow): Int {
        val connections = context.service?.maxConnections
        if (connections == null || !context.tables.limitsPressure) return SendLimit.UNBOUNDED
        val share = (connections.toLong() * SHARES / context.tables.gatewayCount).coerceAtMost(connections.toLong())
        return (share - upstream.inFlight).toRoom(upstream)
    }

    private companion object {
        const val SHARES = 2
    }
}

private val GatewayTables.limitsPressure: Boolean get() = Feature.PRESSURE in settings.features

/** The room as a count, 1 at least where nothing is known to be under way. */
private fun Long.toRoom(upstream: UpstreamRow): Int {
    val minimum = if (upstream.load == 0) 1L else 0L
    return coerceIn(minimum, SendLimit.UNBOUNDED.toLong()).toInt()
}
