package org.ragwortbank.experiments.fleet

import org.ragwortbank.core.tick.Timestamp

/** Two processes that can't reach each other until [until]. */
data class Partition(val first: String, val second: String, val until: Timestamp) {
    /** Whether it parts [address] and [otherAddress] at [now]. */
    fun separates(address: String, otherAddress: String, now: Timestamp): Boolean {
        val isThisPair =
            (first == address && second == otherAddress) || (first == otherAddress && second == address)
        return isThisPair && now < until
    }
}
