package org.ragwortbank.clients.upstream

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.ResponseHead

/** Reads a response that is a single JSON object. */
internal class CompleteResponseReader(
    adapter: AdapterRef,
    private val listener: RunListener,
) : EngineResponseReader(adapter, listener) {
    private val body = BoundedBody()

    override fun onSuccessHead() = Unit

    override fun onSuccessContent(bytes: ByteArray) {
        if (!body.add(bytes)) fail(responseTooLong)
    }

    override fun onSuccessCompleted() {
        val parsed = parse(body.text()) ?: return
        listener.onHead(ResponseHead(OK, JSON_HEADERS, isStreamed = false))
        listener.onOutput(parsed.usage?.completion ?: 0, ByteString(body.bytes()))
        complete(parsed.usage)
    }

    private companion object {
        const val OK = 200
    }
}
