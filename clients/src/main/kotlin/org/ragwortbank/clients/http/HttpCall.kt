package org.ragwortbank.clients.http

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.model.Header

/**
 * A request to a server.
 *
 * @property needsNewConnection whether it needs an unused connection, because it may not be sent twice
 */
class HttpCall(
    val method: String,
    val path: String,
    val headers: ImmutableList<Header> = persistentListOf(),
    val body: ByteArray = ByteArray(0),
    val needsNewConnection: Boolean = false,
) {
    companion object {
        private val jsonHeaders = persistentListOf(Header("Content-Type", "application/json"))

        /** A POST of a JSON text. */
        fun json(path: String, body: String): HttpCall =
            HttpCall("POST", path, jsonHeaders, body.encodeToByteArray())

        /** A GET. */
        fun get(path: String): HttpCall = HttpCall("GET", path)
    }
}
