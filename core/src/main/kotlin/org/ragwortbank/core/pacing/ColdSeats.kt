package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.tick.Timestamp

/** Which gateways may send to a cold upstream, by the member list of [tables]. */
internal class ColdSeats(tables: GatewayTables) {
    private val ownHash = RendezvousHash.hashOf(tables.identity.name)
    private val otherHashes = tables.peers.values.filter { it.isListed }.map { RendezvousHash.hashOf(it.name) }

    /** Requests that this gateway may send to [upstream] in any second; 0 without a seat. */
    fun seatAt(upstream: UpstreamIncarnation, bound: Double): Int {
        val split = ColdSplit.of(bound, otherHashes.size + 1)
        val upstreamHash = hashOf(upstream)
        val own = RendezvousHash.score(upstreamHash, ownHash)
        val before = otherHashes.count { RendezvousHash.score(upstreamHash, it) >= own }
        return if (before < split.seats) split.perSecond else 0
    }

    companion object {
        /** The largest fleet of gateways that the smallest share allows for. */
        private const val MAX_GATEWAYS = 350

        /**
         * Requests in any second to [upstream] of a gateway that can't rely on its member list: one, for so few
         * gateways that the largest fleet of them keeps the bound.
         */
        fun smallestSeat(tables: GatewayTables, upstream: UpstreamIncarnation, bound: Double): Int {
            val rank = RendezvousHash.fraction(hashOf(upstream), RendezvousHash.hashOf(tables.identity.name))
            return if (rank * MAX_GATEWAYS < ColdSplit.agreedRequests(bound)) 1 else 0
        }

        /** Whether this gateway can rely on its member list; the others don't count on one that is stopping. */
        fun isListReliable(tables: GatewayTables, now: Timestamp): Boolean {
            val isKnown = tables.memberList?.isReliable(now) ?: false
            return isKnown && tables.stoppingSince == null
        }

        private fun hashOf(upstream: UpstreamIncarnation): Long =
            RendezvousHash.hashOf("${upstream.upstream}@${upstream.startedMillis}")
    }
}
