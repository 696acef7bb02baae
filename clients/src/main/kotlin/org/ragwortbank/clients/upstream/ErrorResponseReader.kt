package org.ragwortbank.clients.upstream

import kotlinx.io.bytestring.encodeToByteString
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.sidecar.RunFailure

/** Reads an engine's response with a [status] other than 2xx. */
internal class ErrorResponseReader(
    private val status: Int,
    private val adapter: AdapterRef,
    private val listener: RunListener,
) {
    private val body = BoundedBody()

    /** Adds a chunk of the body; chunks beyond the size limit are dropped. */
    fun add(bytes: ByteArray) {
        body.add(bytes)
    }

    /** Reports the complete response. */
    fun complete() {
        val text = body.text()
        when {
            status == NOT_FOUND && adapter.engineName in text -> listener.onFailed(RunFailure.AdapterMissing)
            status in SERVER_ERRORS -> listener.onFailed(RunFailure.ErrorStatus(status))
            else -> forward(text)
        }
    }

    /** The engine rejected the request as such, so its response is passed on to the caller. */
    private fun forward(text: String) {
        listener.onHead(ResponseHead(status, EngineResponseReader.JSON_HEADERS, isStreamed = false))
        listener.onOutput(0, text.encodeToByteString())
        listener.onCompleted(null)
    }

    private companion object {
        const val NOT_FOUND = 404
        val SERVER_ERRORS = 500..599
    }
}
