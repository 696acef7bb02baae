package org.ragwortbank.node

import org.ragwortbank.clients.http.Address

/**
 * Addresses that a started process listens on.
 *
 * @property http address for callers; null for a sidecar or placer
 * @property peer address for other processes: links, or digests of a gateway or placer
 */
data class ListenAddresses(
    val name: String,
    val http: Address?,
    val peer: Address,
    val admin: Address,
) {
    /** The line that a launcher reads to learn that the process is ready. */
    override fun toString(): String =
        listOfNotNull("ready name=$name", http?.let { "http=$it" }, "peer=$peer", "admin=$admin").joinToString(" ")
}
