package org.ragwortbank.clients.http

/** Host and port that a server listens on. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`; null when [text] is malformed. */
        fun parse(text: String): Address? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isEmpty() || port == null || port !in 0..MAX_PORT) null else Address(host, port)
        }
    }
}
