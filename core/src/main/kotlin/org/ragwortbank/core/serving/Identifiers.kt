package org.ragwortbank.core.serving

/** Name of a group of interchangeable upstreams. */
@JvmInline
value class ServiceName(val value: String) {
    override fun toString(): String = value
}

/** Name of one upstream; each incarnation has a new one unless the platform reuses it. */
@JvmInline
value class UpstreamId(val value: String) {
    override fun toString(): String = value
}

/** Identifies a request within one process. */
@JvmInline
value class RequestNumber(val value: Long) {
    override fun toString(): String = value.toString()
}

/** Name of one part of a prompt; requests that begin alike have the same first parts. */
@JvmInline
value class PromptPartId(val value: String) {
    override fun toString(): String = value
}

/** Hash of a request's path, API key and body; a repeat of a request has the same one. */
@JvmInline
value class RequestFingerprint(val value: Long) {
    override fun toString(): String = value.toULong().toString(radix = 16)
}

/** Identifies an adapter by its base model and name. */
data class AdapterKey(
    val model: String,
    val adapter: String,
) {
    override fun toString(): String = "$model/$adapter"
}

/** Network address of a process, as the platform states it. */
data class Endpoint(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`; null when [text] has another form or the port is out of range. */
        fun parse(text: String): Endpoint? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isEmpty() || port == null || port !in 1..MAX_PORT) null else Endpoint(host, port)
        }
    }
}
