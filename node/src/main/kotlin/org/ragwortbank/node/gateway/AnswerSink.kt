package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.ragwortbank.core.result.Refusal

/** Where the answer to one request goes; used on the event loop's thread. */
internal interface AnswerSink {
    /** Whether more may be written now without waiting for the caller to read. */
    val writable: Boolean

    /** Calls [action] each time when [writable] changes. */
    fun onWritability(action: () -> Unit)

    /** Begins an answer with the status and headers of [response]. */
    fun begin(response: HttpResponse)

    /** Continues it; takes over [content]. */
    fun content(content: ByteBuf)

    /** Ends it. */
    fun end()

    /** Closes the connection, so that the caller sees that the answer is incomplete. */
    fun breakOff()

    /** Answers with a refusal instead. */
    fun refuse(refusal: Refusal)
}

/** What the connections of callers report. */
internal interface FrontCalls {
    /** Whether connections are to be closed after the present answer. */
    val stopping: Boolean

    /** A whole request arrived. */
    fun arrived(request: FrontRequest, sink: AnswerSink)

    /** The caller disconnected before the answer ended. */
    fun gone(sink: AnswerSink)

    /** A request can't be read. */
    fun unreadable(refusal: Refusal)
}
