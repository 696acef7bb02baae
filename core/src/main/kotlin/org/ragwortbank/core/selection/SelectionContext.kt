package org.ragwortbank.core.selection

import kotlinx.collections.immutable.PersistentMap
import org.ragwortbank.core.gateway.AdapterStates
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.locality.HomeRegions
import org.ragwortbank.core.locality.homesOf
import org.ragwortbank.core.locality.trialUpstreams
import org.ragwortbank.core.serving.ServiceDemands
import org.ragwortbank.core.serving.ServiceSpec
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.speed.UpstreamSpeeds
import org.ragwortbank.core.speed.unreadPromptTokens
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.StreamBinding
import org.ragwortbank.core.versions.bindingOf
import kotlin.time.Duration

/** A request that looks for an upstream at [now], with the tables of its gateway. */
class SelectionContext(
    val tables: GatewayTables,
    val request: RequestRow,
    val now: Timestamp,
) {
    /** The request's service as configured; null if the configuration doesn't name it. */
    val service: ServiceSpec? = tables.config?.services?.get(request.service)

    /** Hash of the request's adapter for rendezvous hashing. */
    val adapterHash: Long by lazy(LazyThreadSafetyMode.NONE) {
        RendezvousHash.hashOf(request.call.adapterKey.toString())
    }

    /** Regions to which the request is bound. */
    val homes: HomeRegions = tables.homesOf(request)

    /** Upstreams that the request may go to in order to try a failure domain that is likely lost. */
    val trialUpstreams: Set<UpstreamId> by lazy(LazyThreadSafetyMode.NONE) {
        tables.trialUpstreams(request.service, now)
    }

    /** Speeds of the upstreams of the request's service. */
    val speeds = UpstreamSpeeds(tables.speeds[request.service], now, tables.engineDigestLifetime)

    /** Prompt tokens of this gateway that each upstream has yet to read. */
    val unreadPromptTokens: PersistentMap<UpstreamId, Long> by lazy(LazyThreadSafetyMode.NONE) {
        tables.unreadPromptTokens()
    }

    /** What the routes to the request's service ask of its upstreams. */
    val demands: ServiceDemands by lazy(LazyThreadSafetyMode.NONE) {
        tables.config?.demands?.get(request.service) ?: ServiceDemands()
    }

    /** Number of gateways, of which each may use its share; counted once for a request. */
    val gatewayCount: Int by lazy(LazyThreadSafetyMode.NONE) { tables.gatewayCount }

    /** Age above which a placer's digest is ignored. */
    val digestLifetime: Duration by lazy(LazyThreadSafetyMode.NONE) { tables.engineDigestLifetime }

    /** Software versions of the upstreams to which the request may be sent. */
    val binding: StreamBinding by lazy(LazyThreadSafetyMode.NONE) { tables.bindingOf(request, now) }

    internal val adapterStates = AdapterStates(tables, request.call.adapterKey, now)
}
