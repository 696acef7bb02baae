package org.ragwortbank.clients.http

import kotlinx.collections.immutable.ImmutableList
import org.ragwortbank.core.model.Header

/** Status and header fields of a response. */
data class HttpHead(
    val status: Int,
    val headers: ImmutableList<Header>,
) {
    /** The value of the header field [name]; null when there is none. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}
