package org.ragwortbank.standins.http

import io.netty.handler.codec.http.FullHttpRequest
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.model.Header

/**
 * A request to a stand-in, read completely.
 *
 * @property path path with the query string, if there is one
 */
data class StandInRequest(
    val method: String,
    val path: String,
    val headers: PersistentList<Header>,
    val body: String,
) {
    /** Value of the first header field called [name], in any case; null if there is none. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    companion object {
        /** Copies the parts that stand-ins use from [request], whose buffer Netty releases afterwards. */
        fun of(request: FullHttpRequest): StandInRequest =
            StandInRequest(
                method = request.method().name(),
                path = request.uri(),
                headers = request.headers().entries().map { Header(it.key, it.value) }.toPersistentList(),
                body = request.content().toString(Charsets.UTF_8),
            )
    }
}
