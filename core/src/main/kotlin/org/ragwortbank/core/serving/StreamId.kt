package org.ragwortbank.core.serving

/** Id of the request that brought the first event of a stream to its caller. */
@JvmInline
value class StreamId(val value: String) {
    override fun toString(): String = value
}
