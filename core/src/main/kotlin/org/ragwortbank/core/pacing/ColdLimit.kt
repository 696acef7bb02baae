package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.serving.ColdStart
import org.ragwortbank.core.tick.Timestamp

/**
 * Bounds the requests to a cold upstream, so that those of all gateways together keep the fleet's bound in any second.
 *
 * A request whose adapter isn't usable there may wait for a load, since nothing is sent before that is done.
 */
class ColdLimit : SendLimit {
    override fun roomFor(context: SelectionContext, upstream: UpstreamRow): Int {
        val start = context.service?.cold
        val cold = upstream.cold
        if (start == null || cold == null || !cold.mayBeCold(start, context.now)) return SendLimit.UNBOUNDED
        val seat = seatAt(context.tables, upstream, start, context.now)
        val isLoadNeeded = !context.adapterStates.at(upstream).isUsable
        return when {
            seat == 0 -> 0
            isLoadNeeded || isTurn(cold, seat, context.now) -> 1
            else -> 0
        }
    }

    private fun seatAt(tables: GatewayTables, upstream: UpstreamRow, start: ColdStart, now: Timestamp): Int {
        val seat = upstream.cold?.seat?.takeIf { ColdSeats.isListReliable(tables, now) }
        val bound = ColdSplit.bound(start, tables.settings)
        return seat ?: ColdSeats.smallestSeat(tables, upstream.registration.incarnation, bound)
    }

    private fun isTurn(cold: ColdRow, seat: Int, now: Timestamp): Boolean =
        cold.sentAt?.let { now - it >= ColdSplit.interval(seat) } ?: true
}
