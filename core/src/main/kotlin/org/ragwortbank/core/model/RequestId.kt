package org.ragwortbank.core.model

/** Identifies a request across the fleet: the process that received it and its sequence number there. */
data class RequestId(
    val incarnation: Incarnation,
    val sequence: Long,
) {
    override fun toString(): String = "$incarnation-$sequence"
}
