package org.ragwortbank.core.serving

/**
 * What a request that takes up a broken stream says of it.
 *
 * @property stream the stream; null when the request doesn't name it
 */
data class StreamResumption(val stream: StreamId?)
