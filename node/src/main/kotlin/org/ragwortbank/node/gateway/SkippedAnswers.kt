package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import org.ragwortbank.clients.http.STATUS_LINE_LENGTH
import org.ragwortbank.clients.http.hasStatusLine

/** Decides how long answers to other requests may be skipped while the one to a request is awaited. */
internal class SkippedAnswers(private val observer: ConnectionObserver) {
    private var bodyEnd = ""

    /** Number of answers that were skipped. */
    var count = 0
        private set

    /** The head of an answer to skip was received; returns why it can't be skipped, or null. */
    fun onHead(): String? {
        observer.onSkippedAnswer()
        bodyEnd = ""
        return if (++count > MAX_COUNT) "more than $MAX_COUNT answers to other requests" else null
    }

    /**
     * A part of its body was received; returns why it can't be skipped, or null. If the upstream sends less of the body
     * than its length says, the awaited answer stands in it.
     */
    fun onContent(content: ByteBuf): String? {
        val text = bodyEnd + content.toString(Charsets.ISO_8859_1)
        bodyEnd = text.takeLast(STATUS_LINE_LENGTH - 1)
        return if (hasStatusLine(text)) "an answer inside the body of another" else null
    }

    private companion object {
        const val MAX_COUNT = 3
    }
}
