package org.ragwortbank.clients.upstream

/** Hop-by-hop header fields and others that apply to one connection only; they are never forwarded. */
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
