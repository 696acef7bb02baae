package org.ragwortbank.experiments.fleet

import org.ragwortbank.core.tick.Timestamp

/** Two processes that can't reach each other until [until]. */
data class Partition(val first: String, val second: String, val until: Timestamp) {
    /** Whether it parts [a] and [b] at [now]. */
    fun parts(a: String, b: String, now: Timestamp): Boolean {
        val concerned = (first == a && second == b) || (first == b && second == a)
        return concerned && now < until
    }
}
