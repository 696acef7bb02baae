package org.ragwortbank.clients.upstream

/** Header fields that concern one connection only and are never passed on. */
object HopHeaders {
    /** The names in lower case. */
    val NAMES: Set<String> = setOf(
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
}
