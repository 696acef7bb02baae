package org.ragwortbank.core.routing

import org.ragwortbank.core.entry.Upstream
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.model.AdapterRef
import kotlin.math.ceil

/**
 * Rendezvous hashing with bounded load.
 *
 * Each adapter version prefers one upstream, so that a pool's slots hold as many different adapters as possible.
 * Among the upstreams within the load bound, those with the adapter resident come first. An upstream whose load
 * exceeds both [loadFactor] times the mean and the mean plus [excessRequests] is skipped, so that an adapter in high
 * demand spreads to further upstreams.
 */
class RendezvousSelector(
    private val loadFactor: Double = 1.25,
    private val excessRequests: Int = 4,
) : UpstreamSelector {
    private val leastLoadedSelector = LeastLoadedSelector()

    override fun select(adapter: AdapterRef?, candidates: List<Upstream>): UpstreamSelection =
        when (adapter) {
            null -> leastLoadedSelector.select(null, candidates)
            else -> selectForAdapter(adapter, candidates)
        }

    private fun selectForAdapter(adapter: AdapterRef, candidates: List<Upstream>): UpstreamSelection {
        val maxLoad = maxLoad(candidates)
        val withinBound = candidates.filter { it.estimatedLoad <= maxLoad }
        val residentUpstreams = withinBound.filter { it.hasResident(adapter) }
        val keyHash = RendezvousHash.hashOf(adapter.engineName)
        return when {
            residentUpstreams.size == 1 ->
                UpstreamSelection(residentUpstreams.single(), "only upstream with the adapter resident")
            residentUpstreams.isNotEmpty() ->
                UpstreamSelection(
                    residentUpstreams.minBy { it.estimatedLoad },
                    "least loaded of ${residentUpstreams.size} upstreams with the adapter resident",
                )
            else -> UpstreamSelection(withinBound.maxBy { RendezvousHash.score(keyHash, it.seed) }, "preferred by hash")
        }
    }

    private fun maxLoad(candidates: List<Upstream>): Int {
        val meanLoad = candidates.sumOf { it.estimatedLoad }.toDouble() / candidates.size
        return maxOf(ceil(meanLoad * loadFactor).toInt(), ceil(meanLoad).toInt() + excessRequests)
    }
}
