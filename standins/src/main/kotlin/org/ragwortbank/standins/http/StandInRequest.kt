package org.ragwortbank.standins.http

import io.netty.handler.codec.http.FullHttpRequest
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.model.Header

/** A request to a stand-in. */
data class StandInRequest(
    val method: String,
    val path: String,
    val headers: PersistentList<Header>,
    val body: String,
) {
    /** The value of the header field [name]; null when there is none. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    companion object {
        /** Copies what a stand-in needs from [request]. */
        fun of(request: FullHttpRequest): StandInRequest =
            StandInRequest(
                method = request.method().name(),
                path = request.uri(),
                headers = request.headers().entries().map { Header(it.key, it.value) }.toPersistentList(),
                body = request.content().toString(Charsets.UTF_8),
            )
    }
}
