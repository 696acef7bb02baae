package org.ragwortbank.clients.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

/** Passes the body of one response to [listener] and looks for another response in it. */
internal class ResponseBody(private val listener: HttpListener) {
    private var scan: AnswerBodyScan? = null
    private var rest = ""

    /** Begins the body of [response]. */
    fun begin(response: HttpResponse) {
        scan = scanOf(response)
    }

    /** Passes on a part of the body; returns why it can't be one, or null. */
    fun onContent(content: ByteBuf): String? {
        if (!content.isReadable) return null
        val defect = scan?.onContent(content)
        if (defect == null) listener.onContent(ByteBufUtil.getBytes(content))
        return defect
    }

    /** Bytes that follow the body have arrived with it. */
    fun onRest(bytes: ByteBuf) {
        rest = (rest + bytes.toString(Charsets.ISO_8859_1)).take(MAX_REST_LENGTH)
    }

    /** Why the body, which has ended, can't be whole; null if it can. */
    fun defect(): String? = scan?.onEnd(rest)

    /** Bodies of JSON, and of events that hold such, have no line ends inside their texts, and so quote no head. */
    private fun scanOf(response: HttpResponse): AnswerBodyScan? {
        val type = response.headers()[HttpHeaderNames.CONTENT_TYPE].orEmpty()
        if (structuredTypes.none { type.startsWith(it, ignoreCase = true) }) return null
        val hasFraming = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
        return AnswerBodyScan(endsWithConnection = !hasFraming) { line ->
            field.containsMatchIn(line) && line.substringBefore(':') !in eventFields
        }
    }

    private companion object {
        /** Room for the first fields of a head. */
        const val MAX_REST_LENGTH = 1_024
        val eventFields = setOf("data", "event", "id", "retry")
        val structuredTypes = listOf("application/json", "text/event-stream")
        val field = Regex("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:")
    }
}
