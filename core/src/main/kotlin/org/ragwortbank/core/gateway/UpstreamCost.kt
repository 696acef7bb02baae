package org.ragwortbank.core.gateway

import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.DurationUnit

/**
 * State of a request's adapter at an upstream.
 *
 * @property label name of the state in log lines
 */
enum class AdapterState(val label: String) {
    /** The newest version is resident, or the request needs no adapter. */
    RESIDENT("PRESENT"),

    /** The previous version is resident, and the newest was published recently enough to still use it. */
    PREVIOUS_VERSION("PREVIOUS"),

    /** The adapter is loading. */
    LOADING("COMING"),

    /** It must be loaded, but was resident there before, so that the load is fast. */
    CACHED("WARM"),

    /** It must be loaded. */
    ABSENT("ABSENT"),

    /** An older version is in use, so that a load would wait for the requests that use it. */
    OUTDATED("OUTDATED"),
    ;

    /** Whether a request can be sent at once. */
    val isUsable: Boolean get() = this == RESIDENT || this == PREVIOUS_VERSION
}

/**
 * An upstream that may serve a request.
 *
 * @property expectedMillis expected time to the first part of the answer, in milliseconds
 */
data class Candidate(
    val row: UpstreamRow,
    val state: AdapterState,
    val expectedMillis: Double,
)

/** Estimates the time to the first part of the answer to one request; the upstream with the smallest is chosen. */
fun interface DelayEstimate {
    /** The estimate at [row]. */
    fun at(row: UpstreamRow): Candidate
}

/** Compares the upstreams of a service for a request. */
fun interface UpstreamCost {
    /** Returns the estimate for [request], given the state of the gateway at [now]. */
    fun estimateFor(tables: GatewayTables, request: RequestRow, now: Timestamp): DelayEstimate
}

/**
 * Adds up the wait behind other requests, the load time of the adapter, and the average delay of past answers.
 *
 * An adapter that must be loaded prefers upstreams in the order of a rendezvous hash, so that each upstream serves a
 * stable share of the adapters and reloads them from its own memory.
 */
class ExpectedDelay : UpstreamCost {
    override fun estimateFor(tables: GatewayTables, request: RequestRow, now: Timestamp): DelayEstimate =
        ExpectedDelayEstimate(tables, request, now)
}

private class ExpectedDelayEstimate(
    tables: GatewayTables,
    private val request: RequestRow,
    private val now: Timestamp,
) : DelayEstimate {
    private val states = AdapterStates(tables, request.call.adapterKey, now)
    private val adapterHash = RendezvousHash.hashOf(request.call.adapterKey.toString())
    private val waiting = request.stage as? RequestStage.Waiting
    private val isEngine = tables.config?.services?.get(request.service)?.engine != null

    override fun at(row: UpstreamRow): Candidate {
        val state = states.at(row)
        val blockedMillis = when {
            state.isUsable || state == AdapterState.LOADING -> 0.0
            states.freshDigest(row) == null -> NO_FRESH_DIGEST_MILLIS
            else -> slotWaitMillis(row)
        }
        val loadMillis = loadWaitMillis(state, row) + blockedMillis
        return Candidate(row, state, loadMillis + queueMillis(row) + row.health.delayMillis)
    }

    /** The wait for a slot behind the other adapters whose load is requested there. */
    private fun slotWaitMillis(row: UpstreamRow): Double {
        val digest = row.digest ?: return 0.0
        val isAsked = request.loadingUpstream == row.registration.id
        val others = if (isAsked) (digest.requestedLoads - 1).coerceAtLeast(0) else digest.requestedLoads
        val shortage = others + 1 - digest.freeSlots
        return if (shortage <= 0) 0.0 else NO_FREE_SLOT_MILLIS + (shortage - 1) * SLOT_WAIT_MILLIS
    }

    private fun queueMillis(row: UpstreamRow): Double {
        val perRequest = if (isEngine) ENGINE_REQUEST_MILLIS else PLAIN_REQUEST_MILLIS
        val overflow = (row.load + 1 - row.registration.slots).coerceAtLeast(0)
        return row.load * perRequest + overflow * OVERFLOW_MILLIS
    }

    private fun loadWaitMillis(state: AdapterState, row: UpstreamRow): Double =
        when (state) {
            AdapterState.RESIDENT, AdapterState.PREVIOUS_VERSION -> 0.0
            AdapterState.LOADING -> LOADING_MILLIS
            AdapterState.OUTDATED -> OUTDATED_MILLIS
            AdapterState.CACHED -> CACHED_MILLIS + overdueMillis(row)
            AdapterState.ABSENT -> ABSENT_MILLIS + preferenceMillis(row) + overdueMillis(row)
        }

    /** Prefers the upstream that the load was requested from, until it takes longer than usual and is likely stuck. */
    private fun overdueMillis(row: UpstreamRow): Double {
        val requestedAt = waiting?.loadRequestedAt?.takeIf { waiting.loadingUpstream == row.registration.id }
            ?: return 0.0
        val requestedForMillis = (now - requestedAt).toDouble(DurationUnit.MILLISECONDS)
        return (requestedForMillis - USUAL_LOAD_MILLIS).coerceAtLeast(0.0) - REQUESTED_BONUS_MILLIS
    }

    private fun preferenceMillis(row: UpstreamRow): Double {
        val score = RendezvousHash.score(adapterHash, row.registration.nameHash)
        val rank = 1.0 - (score.toLong() - Int.MIN_VALUE) / SCORE_RANGE
        return rank * PREFERENCE_MILLIS
    }

    private companion object {
        const val ENGINE_REQUEST_MILLIS = 4.0
        const val PLAIN_REQUEST_MILLIS = 15.0
        const val OVERFLOW_MILLIS = 60.0
        const val LOADING_MILLIS = 130.0
        const val CACHED_MILLIS = 60.0
        const val ABSENT_MILLIS = 270.0
        const val OUTDATED_MILLIS = 2_500.0
        const val NO_FRESH_DIGEST_MILLIS = 4_000.0
        const val NO_FREE_SLOT_MILLIS = 2_500.0

        /** Usual time between two slots of an engine that can be taken. */
        const val SLOT_WAIT_MILLIS = 600.0
        const val USUAL_LOAD_MILLIS = 600.0
        const val REQUESTED_BONUS_MILLIS = 60.0
        const val PREFERENCE_MILLIS = 2_500.0
        const val SCORE_RANGE = 4_294_967_296.0
    }
}
