package org.ragwortbank.core.routing

import org.ragwortbank.core.entry.Upstream
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.model.AdapterRef
import kotlin.math.ceil

/**
 * Rendezvous hashing with bounded load.
 *
 * Each adapter version prefers one upstream, so that the slots of a pool hold as many different adapters as
 * possible. An upstream with more than [loadFactor] times the mean load, and more than [slack] requests above it,
 * is passed over, so that an adapter in high demand spreads to further upstreams.
 */
class RendezvousChoice(
    private val loadFactor: Double = 1.25,
    private val slack: Int = 4,
) : UpstreamChoice {
    private val leastLoaded = LeastLoadedChoice()

    override fun choose(adapter: AdapterRef?, candidates: List<Upstream>): Choice =
        when (adapter) {
            null -> leastLoaded.choose(null, candidates)
            else -> chooseFor(adapter, candidates)
        }

    private fun chooseFor(adapter: AdapterRef, candidates: List<Upstream>): Choice {
        val bound = loadBound(candidates)
        val open = candidates.filter { it.estimatedLoad <= bound }
        val holders = open.filter { it.hasResident(adapter) }
        val key = RendezvousHash.seed(adapter.engineName)
        return when {
            holders.size == 1 -> Choice(holders.single(), "only holder")
            holders.isNotEmpty() ->
                Choice(holders.minBy { it.estimatedLoad }, "least loaded of ${holders.size} holders")
            else -> Choice(open.maxBy { RendezvousHash.score(key, it.seed) }, "preferred home")
        }
    }

    private fun loadBound(candidates: List<Upstream>): Int {
        val mean = candidates.sumOf { it.estimatedLoad }.toDouble() / candidates.size
        return maxOf(ceil(mean * loadFactor).toInt(), ceil(mean).toInt() + slack)
    }
}
