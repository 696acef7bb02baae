package org.ragwortbank.clients.kv

import kotlinx.serialization.SerializationException
import org.ragwortbank.clients.http.HttpHead
import org.ragwortbank.clients.http.HttpListener
import org.ragwortbank.clients.http.LineBuffer

/** Reads the gateway's stream of watch responses, one JSON object per line. */
internal class EtcdWatch(private val listener: KvWatchListener) : HttpListener {
    private val lines = LineBuffer()

    override fun onHead(head: HttpHead) = Unit

    override fun onContent(bytes: ByteArray) {
        lines.add(bytes).forEach(::onLine)
    }

    override fun onCompleted() = listener.onLost("the service ended the watch")

    override fun onFailure(wasConnected: Boolean, cause: String) = listener.onLost(cause)

    private fun onLine(line: String) {
        if (line.isBlank()) return
        try {
            val response = EtcdJson.decodeFromString(WatchResponse.serializer(), line)
            if (response.result.created) listener.onReady()
            response.result.events.forEach { listener.onChange(it.kv.key.decodeBase64()) }
        } catch (e: SerializationException) {
            listener.onLost("malformed watch response: ${e.message}")
        }
    }
}
