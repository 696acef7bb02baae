package org.ragwortbank.core.admission

import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.pacing.SendLimit
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.serving.Feature
import kotlin.time.Duration.Companion.seconds

/**
 * Leaves the last slots of an upstream to the most urgent requests of its service, so that they find room when their
 * burst begins.
 *
 * In force only where routes of different ranks lead to the service. A less urgent request that has waited for
 * [AGING_BOUND] may take any slot.
 */
class UrgentReserve : SendLimit {
    override fun roomFor(context: SelectionContext, upstream: UpstreamRow): Int {
        val request = context.request
        val ranks = context.takeIf { Feature.PRESSURE in it.tables.settings.features }?.demands?.ranks.orEmpty()
        val isUrgent = ranks.size <= 1 || request.priority <= ranks.min()
        val isAged = context.now - request.arrivedAt >= AGING_BOUND
        if (isUrgent || isAged) return SendLimit.UNBOUNDED
        val slots = upstream.registration.slots
        return slots - (slots + RESERVED_PART - 1) / RESERVED_PART - upstream.load
    }

    private companion object {
        /** One slot in this number is left to the most urgent requests. */
        const val RESERVED_PART = 12
        val AGING_BOUND = 1.seconds
    }
}
