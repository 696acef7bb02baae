package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest

/** A complete request of a caller. */
internal class CallerRequest(val head: HttpRequest, val body: ByteArray) {
    val headers: HttpHeaders get() = head.headers()
}
