package org.ragwortbank.node

import org.ragwortbank.clients.http.Address

/**
 * Addresses that a started process listens on.
 *
 * @property http null for a sidecar
 */
data class ListenAddresses(
    val name: String,
    val http: Address?,
    val peer: Address,
    val admin: Address,
) {
    /** One line for the launcher that waits for it. */
    override fun toString(): String =
        listOfNotNull("ready name=$name", http?.let { "http=$it" }, "peer=$peer", "admin=$admin").joinToString(" ")
}
