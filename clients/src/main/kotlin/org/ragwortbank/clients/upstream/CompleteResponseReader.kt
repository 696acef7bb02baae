package org.ragwortbank.clients.upstream

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.ResponseHead

/** An answer in one JSON object. */
internal class WholeAnswer(
    adapter: AdapterRef,
    private val listener: RunListener,
) : EngineAnswer(adapter, listener) {
    private val body = BoundedBody()

    override fun onAccepted() = Unit

    override fun onAcceptedContent(bytes: ByteArray) {
        if (!body.add(bytes)) fail(tooLong)
    }

    override fun onAcceptedEnd() {
        val parsed = parse(body.text()) ?: return
        listener.began(ResponseHead(OK, JSON_HEADERS, isStreamed = false))
        listener.continued(parsed.usage?.completion ?: 0, ByteString(body.bytes()))
        complete(parsed.usage)
    }

    private companion object {
        const val OK = 200
    }
}
