package org.ragwortbank.node.gateway

import org.ragwortbank.node.log.Logs

/** Logs when the store stops answering, and when it answers again. */
internal class StoreAvailability {
    private var isAvailable = true

    /** The store answered. */
    fun onAnswer() {
        if (!isAvailable) Logs.platform.info("the store answers again")
        isAvailable = true
    }

    /** The store did not answer, or refused, for [cause]. */
    fun onFailure(cause: String) {
        if (isAvailable) Logs.platform.warn("the store does not answer: {}", cause)
        isAvailable = false
    }
}
