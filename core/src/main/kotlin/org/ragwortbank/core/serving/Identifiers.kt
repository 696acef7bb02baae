package org.ragwortbank.core.serving

/** Name of a group of interchangeable upstreams. */
@JvmInline
value class ServiceName(val value: String) {
    override fun toString(): String = value
}

/** Name of one upstream, new for each of its incarnations but where the platform says otherwise. */
@JvmInline
value class UpstreamId(val value: String) {
    override fun toString(): String = value
}

/** Identifies a request within one process. */
@JvmInline
value class RequestNumber(val value: Long) {
    override fun toString(): String = value.toString()
}

/** An adapter of a base model. */
data class AdapterKey(
    val model: String,
    val adapter: String,
) {
    override fun toString(): String = "$model/$adapter"
}

/** Where a process listens, as told by the platform. */
data class Endpoint(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Reads `host:port`; null when [text] is anything else. */
        fun parse(text: String): Endpoint? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isEmpty() || port == null || port !in 1..MAX_PORT) null else Endpoint(host, port)
        }
    }
}
