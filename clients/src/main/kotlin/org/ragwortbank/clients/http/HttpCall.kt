package org.ragwortbank.clients.http

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.model.Header

/**
 * A request to a server.
 *
 * @property needsNewConnection whether it needs an unused connection, because it may not be sent twice or its answer
 *   may not be mistaken
 * @property echoedField field that no other call carries and that the server may repeat in its answer. An answer that
 *   bears another value is refused, and a connection whose answers don't bear the field is not kept.
 */
class HttpCall(
    val method: String,
    val path: String,
    val headers: ImmutableList<Header> = persistentListOf(),
    val body: ByteArray = ByteArray(0),
    val needsNewConnection: Boolean = false,
    val echoedField: Header? = null,
) {
    companion object {
        private val jsonHeaders = persistentListOf(Header("Content-Type", "application/json"))

        /** A POST of a JSON text. */
        fun json(path: String, body: String, needsNewConnection: Boolean = false): HttpCall =
            HttpCall("POST", path, jsonHeaders, body.encodeToByteArray(), needsNewConnection)

        /** A GET. */
        fun get(path: String): HttpCall = HttpCall("GET", path)
    }
}
