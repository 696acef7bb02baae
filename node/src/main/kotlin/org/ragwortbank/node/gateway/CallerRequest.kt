package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest

/** A whole request of a caller. */
internal class CallerRequest(val head: HttpRequest, val body: ByteArray) {
    /** Its header fields. */
    val headers: HttpHeaders get() = head.headers()
}
