package org.ragwortbank.node.gateway

import org.ragwortbank.core.pressure.PressureLimits

/** Counts the bodies of requests that the process holds; used on the event loop's thread only. */
internal class BodyBudget(var limits: PressureLimits) {
    /** Bytes that are counted at present. */
    var heldBytes = 0L
        private set

    /** Counts a body as [newBytes] instead of [oldBytes], if that fits in with the others. */
    fun change(oldBytes: Long, newBytes: Long): Boolean {
        val others = heldBytes - oldBytes * PressureLimits.BODY_COPIES
        val fits = newBytes <= oldBytes || limits.admitsBody(newBytes, others)
        if (fits) heldBytes = others + newBytes * PressureLimits.BODY_COPIES
        return fits
    }
}
