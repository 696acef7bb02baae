package org.ragwortbank.clients.http

import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder

/**
 * Encodes one request with [method] on a connection and decodes its answer.
 *
 * Each exchange has its own, so that bytes that follow its answer are never decoded with the next one.
 */
class ExchangeCodec(method: HttpMethod) {
    private val encoder = HttpRequestEncoder()
    private val decoder = AnswerDecoder(method)

    /** Adds it to [pipeline], directly before [reader], which receives the parts of the answer. */
    fun addBefore(reader: ChannelHandler, pipeline: ChannelPipeline) {
        val readerName = pipeline.context(reader).name()
        pipeline.addBefore(readerName, null, encoder)
        pipeline.addBefore(readerName, null, decoder)
    }

    /** Removes it from [pipeline]; the reader receives the bytes that were read and not decoded. */
    fun removeFrom(pipeline: ChannelPipeline) {
        pipeline.remove(encoder)
        pipeline.remove(decoder)
    }
}
