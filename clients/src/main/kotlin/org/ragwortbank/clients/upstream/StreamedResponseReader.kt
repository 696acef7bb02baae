package org.ragwortbank.clients.upstream

import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.encodeToByteString
import org.ragwortbank.clients.http.LineBuffer
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.sidecar.RunFailure

/** Reads a response of server-sent events, which is complete only after its end marker `[DONE]`. */
internal class StreamedResponseReader(
    private val includeUsage: Boolean,
    adapter: AdapterRef,
    private val listener: RunListener,
) : EngineResponseReader(adapter, listener) {
    private val lines = LineBuffer()
    private var usage: EngineUsage? = null

    override fun onSuccessHead() = listener.onHead(ResponseHead(OK, EVENT_HEADERS, isStreamed = true))

    override fun onSuccessContent(bytes: ByteArray) {
        lines.add(bytes).forEach(::onLine)
        if (lines.pendingBytes > MAX_RESPONSE_BYTES) fail(responseTooLong)
    }

    override fun onSuccessCompleted() = fail(RunFailure.BrokenResponse("the stream ended without [DONE]"))

    private fun onLine(line: String) {
        val data = line.substringAfter(DATA, "").trim()
        when (data) {
            "" -> Unit
            END_MARKER -> complete(usage)
            else -> parse(data)?.let { onEvent(it, data) }
        }
    }

    private fun onEvent(event: EngineResponse, data: String) {
        usage = event.usage ?: usage
        val isUsageReport = event.choices.isEmpty()
        if (!isUsageReport || includeUsage) listener.onOutput(if (isUsageReport) 0 else 1, data.encodeToByteString())
    }

    private companion object {
        const val OK = 200
        const val DATA = "data:"
        const val END_MARKER = "[DONE]"
        val EVENT_HEADERS = persistentListOf(Header("Content-Type", "text/event-stream"))
    }
}
