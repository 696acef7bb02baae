package org.ragwortbank.core.ranking

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.gateway.loadsBefore
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.selection.SelectionContext
import kotlin.time.DurationUnit

/**
 * The time until the request's adapter can be used at an upstream.
 *
 * An adapter that must be loaded prefers upstreams in the order of a rendezvous hash, so that each upstream serves a
 * stable share of the adapters and reloads them from its own memory.
 */
class AdapterDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double {
        val blockedMillis = when {
            state.isUsable || state == AdapterState.LOADING -> 0.0
            context.adapterStates.freshDigest(upstream) == null -> NO_FRESH_DIGEST_MILLIS
            else -> slotWaitMillis(context, upstream)
        }
        return loadMillis(context, upstream, state) + blockedMillis
    }

    /** The wait for a slot behind the other adapters whose load is requested there. */
    private fun slotWaitMillis(context: SelectionContext, upstream: UpstreamRow): Double {
        val digest = upstream.digest ?: return 0.0
        val shortage = context.request.loadsBefore(digest) + 1 - digest.freeSlots
        return if (shortage <= 0) 0.0 else NO_FREE_SLOT_MILLIS + (shortage - 1) * SLOT_WAIT_MILLIS
    }

    private fun loadMillis(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double =
        when (state) {
            AdapterState.RESIDENT, AdapterState.PREVIOUS_VERSION -> 0.0
            AdapterState.LOADING -> LOADING_MILLIS
            AdapterState.OUTDATED -> OUTDATED_MILLIS
            AdapterState.CACHED -> CACHED_MILLIS + overdueMillis(context, upstream)
            AdapterState.ABSENT ->
                ABSENT_MILLIS + preferenceMillis(context, upstream) + overdueMillis(context, upstream)
        }

    /** Prefers the upstream that the load was requested from, until it takes longer than usual and is likely stuck. */
    private fun overdueMillis(context: SelectionContext, upstream: UpstreamRow): Double {
        val waiting = context.request.stage as? RequestStage.Waiting
        val requestedAt = waiting?.loadRequestedAt?.takeIf { waiting.loadingUpstream == upstream.registration.id }
            ?: return 0.0
        val requestedForMillis = (context.now - requestedAt).toDouble(DurationUnit.MILLISECONDS)
        return (requestedForMillis - USUAL_LOAD_MILLIS).coerceAtLeast(0.0) - REQUESTED_BONUS_MILLIS
    }

    private fun preferenceMillis(context: SelectionContext, upstream: UpstreamRow): Double {
        val rank = 1.0 - RendezvousHash.fraction(context.adapterHash, upstream.registration.nameHash)
        return rank * PREFERENCE_MILLIS
    }

    private companion object {
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
    }
}
