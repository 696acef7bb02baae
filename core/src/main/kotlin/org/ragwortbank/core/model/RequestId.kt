package org.ragwortbank.core.model

/** Identifies a request over the whole fleet: the process that received it and its number there. */
data class RequestId(
    val incarnation: Incarnation,
    val sequence: Long,
) {
    override fun toString(): String = "$incarnation-$sequence"
}
