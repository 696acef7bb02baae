package org.ragwortbank.clients.upstream

import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.encodeToByteString
import org.ragwortbank.clients.http.LineBuffer
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.sidecar.RunFailure

/** An answer as server-sent events, complete only with its end mark. */
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

    override fun onSuccessCompleted() = fail(RunFailure.BrokenResponse("the stream ended without its end mark"))

    private fun onLine(line: String) {
        val data = line.substringAfter(DATA, "").trim()
        when (data) {
            "" -> Unit
            END_MARK -> complete(usage)
            else -> parse(data)?.let { onEvent(it, data) }
        }
    }

    private fun onEvent(event: EngineObject, data: String) {
        usage = event.usage ?: usage
        val isUsageReport = event.choices.isEmpty()
        if (!isUsageReport || includeUsage) listener.onOutput(if (isUsageReport) 0 else 1, data.encodeToByteString())
    }

    private companion object {
        const val OK = 200
        const val DATA = "data:"
        const val END_MARK = "[DONE]"
        val EVENT_HEADERS = persistentListOf(Header("Content-Type", "text/event-stream"))
    }
}
