package org.ragwortbank.core.gateway

import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.DurationUnit

/** How an upstream stands to the adapter of a request. */
enum class AdapterState {
    /** It can be used at once, or the request needs none. */
    PRESENT,

    /** An older version can be used at once, and the newer one was named only lately. */
    PREVIOUS,

    /** Its load is under way. */
    COMING,

    /** It must be loaded and was held there before, so that it comes fast. */
    WARM,

    /** It must be loaded. */
    ABSENT,

    /** An older version is in use, so that a load would wait for its requests. */
    OUTDATED,
    ;

    /** Whether a request can be sent at once. */
    val usable: Boolean get() = this == PRESENT || this == PREVIOUS
}

/**
 * An upstream that may serve a request.
 *
 * @property millis expected wait for the first part of the answer, in milliseconds
 */
data class Candidate(
    val row: UpstreamRow,
    val state: AdapterState,
    val millis: Double,
)

/** Estimates how long an upstream would keep a request waiting; the smallest estimate is chosen. */
fun interface UpstreamCost {
    /** The estimate for [request] at [row]. */
    fun estimate(tables: GatewayTables, request: RequestRow, row: UpstreamRow, now: Timestamp): Candidate
}

/**
 * Adds up the wait behind other requests, the time that the adapter takes to come, and the delay that answers showed.
 *
 * An adapter that must be loaded prefers upstreams in the order of a rendezvous hash, so that each upstream keeps its
 * share of the adapters and loads them from its own memory.
 */
class ExpectedDelay : UpstreamCost {
    override fun estimate(tables: GatewayTables, request: RequestRow, row: UpstreamRow, now: Timestamp): Candidate {
        val state = tables.adapterState(request.call.adapterKey, row, now)
        val told = row.freshDigest(now, tables.settings.engineDigestLifetime) != null
        val blocked = when {
            state.usable || state == AdapterState.COMING -> 0.0
            !told -> SILENT_PLACER_MILLIS
            row.digest?.free == 0 -> NO_PLACE_MILLIS
            else -> 0.0
        }
        val wait = waitFor(state, request, row, now) + blocked
        val queue = queueMillis(tables, request, row)
        return Candidate(row, state, wait + queue + row.health.delayMillis)
    }

    private fun queueMillis(tables: GatewayTables, request: RequestRow, row: UpstreamRow): Double {
        val engine = tables.config?.services?.get(request.service)?.engine != null
        val perRequest = if (engine) ENGINE_REQUEST_MILLIS else PLAIN_REQUEST_MILLIS
        val over = (row.load + 1 - row.registration.slots).coerceAtLeast(0)
        return row.load * perRequest + over * OVERFLOW_MILLIS
    }

    private fun waitFor(state: AdapterState, request: RequestRow, row: UpstreamRow, now: Timestamp): Double {
        val waiting = request.stage as? RequestStage.Waiting
        val wishedFor = waiting?.loadRequestedAt?.takeIf { waiting.loadingUpstream == row.registration.id }
            ?.let { (now - it).toDouble(DurationUnit.MILLISECONDS) }
        return when (state) {
            AdapterState.PRESENT, AdapterState.PREVIOUS -> 0.0
            AdapterState.COMING -> COMING_MILLIS
            AdapterState.OUTDATED -> OUTDATED_MILLIS
            AdapterState.WARM -> WARM_MILLIS + overdue(wishedFor)
            AdapterState.ABSENT -> ABSENT_MILLIS + preference(request, row) + overdue(wishedFor)
        }
    }

    /** A load that was wished for and takes long is likely to be stuck. */
    private fun overdue(wishedFor: Double?): Double =
        if (wishedFor == null) 0.0 else (wishedFor - LOAD_USUAL_MILLIS).coerceAtLeast(0.0) - WISHED_BONUS_MILLIS

    private fun preference(request: RequestRow, row: UpstreamRow): Double {
        val key = RendezvousHash.seed(request.call.adapterKey.toString())
        val score = RendezvousHash.score(key, row.registration.seed)
        val rank = 1.0 - (score.toLong() - Int.MIN_VALUE) / SCORE_RANGE
        return rank * PREFERENCE_MILLIS
    }

    private companion object {
        const val ENGINE_REQUEST_MILLIS = 4.0
        const val PLAIN_REQUEST_MILLIS = 15.0
        const val OVERFLOW_MILLIS = 60.0
        const val COMING_MILLIS = 130.0
        const val WARM_MILLIS = 60.0
        const val ABSENT_MILLIS = 270.0
        const val OUTDATED_MILLIS = 2_500.0
        const val SILENT_PLACER_MILLIS = 4_000.0
        const val NO_PLACE_MILLIS = 2_500.0
        const val LOAD_USUAL_MILLIS = 600.0
        const val WISHED_BONUS_MILLIS = 60.0
        const val PREFERENCE_MILLIS = 2_500.0
        const val SCORE_RANGE = 4_294_967_296.0
    }
}
