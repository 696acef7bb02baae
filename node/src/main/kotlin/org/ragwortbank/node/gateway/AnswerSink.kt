package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.ragwortbank.core.result.Refusal

/** Receives the answer to one request and writes it to the caller; used on the event loop's thread only. */
internal interface AnswerSink {
    /** Whether more can be written before the caller has read what was written. */
    val isWritable: Boolean

    /** Sets the [action] to call whenever [isWritable] changes. */
    fun onWritabilityChange(action: () -> Unit)

    /** Starts the answer with the status and headers of [response]. */
    fun writeHead(response: HttpResponse)

    /** Writes a part of the body and takes ownership of [content]. */
    fun writeContent(content: ByteBuf)

    /** Completes the answer. */
    fun complete()

    /** Closes the connection so that the caller can tell that the answer is incomplete. */
    fun abort()

    /** Writes [refusal] as the whole answer. */
    fun writeRefusal(refusal: Refusal)
}

/** Notified of events on callers' connections. */
internal interface CallerListener {
    /** Whether the process is stopping, so that each connection closes after its current answer. */
    val isStopping: Boolean

    /** Where the bodies of requests count; null where what is held for callers and upstreams isn't bounded. */
    val bodies: BodyBudget?

    /** A part of [bytes] bytes of the answer that [sink] writes, or its end, can't be passed on at once. */
    fun onHeld(sink: AnswerSink, answer: HeldAnswer, bytes: Int)

    /** A complete request was received. */
    fun onRequest(request: CallerRequest, sink: AnswerSink)

    /** The caller disconnected before its answer was complete. */
    fun onCallerDisconnected(sink: AnswerSink)

    /** A request was refused because it can't be read. */
    fun onUnreadableRequest(refusal: Refusal)
}
