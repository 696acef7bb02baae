package org.ragwortbank.experiments.fleet

import org.ragwortbank.core.tick.Timestamp

/** A partition between the processes at [first] and [second] that lasts until [until]. */
data class Partition(val first: String, val second: String, val until: Timestamp) {
    /** Whether the partition separates [address] from [otherAddress] at [now]. */
    fun separates(address: String, otherAddress: String, now: Timestamp): Boolean {
        val isThisPair =
            (first == address && second == otherAddress) || (first == otherAddress && second == address)
        return isThisPair && now < until
    }
}
