package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.ragwortbank.core.result.Refusal

/** Where the answer to one request goes; used on the event loop's thread. */
internal interface AnswerSink {
    /** Whether more may be written now without waiting for the caller to read. */
    val isWritable: Boolean

    /** Calls [action] each time when [isWritable] changes. */
    fun onWritabilityChange(action: () -> Unit)

    /** Begins an answer with the status and headers of [response]. */
    fun writeHead(response: HttpResponse)

    /** Continues it; takes over [content]. */
    fun writeContent(content: ByteBuf)

    /** Ends it. */
    fun complete()

    /** Closes the connection, so that the caller sees that the answer is incomplete. */
    fun abort()

    /** Answers with a refusal instead. */
    fun writeRefusal(refusal: Refusal)
}

/** What the connections of callers report. */
internal interface CallerListener {
    /** Whether connections are to be closed after the present answer. */
    val isStopping: Boolean

    /** A whole request arrived. */
    fun onRequest(request: CallerRequest, sink: AnswerSink)

    /** The caller disconnected before the answer ended. */
    fun onCallerDisconnected(sink: AnswerSink)

    /** A request can't be read. */
    fun onUnreadableRequest(refusal: Refusal)
}
