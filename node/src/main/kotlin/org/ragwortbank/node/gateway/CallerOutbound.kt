package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultHttpContent
import org.ragwortbank.core.pressure.HeldMeasure

/**
 * Writes the body of one answer to its caller's connection, and knows what the caller has taken of it.
 *
 * @property onHeld called with the size of a part that the connection could not pass on at once; null where what it
 *   holds isn't bounded
 */
internal class CallerOutbound(
    private val ctx: ChannelHandlerContext,
    private val onHeld: ((HeldAnswer, Int) -> Unit)? = null,
) : HeldAnswer {
    private var takenParts = 0L
    private var readLimitBytes = 0L
    private var lastWrite: ChannelFuture? = null
    private val takenListener = ChannelFutureListener { if (it.isSuccess) takenParts++ }

    /** Called when reading from the upstream may go on or must pause. */
    var onReadingChange: () -> Unit = {}

    /** Whether more may be written; also to a connection that is closed, where it is dropped. */
    val isWritable: Boolean
        get() = !ctx.channel().isActive || ctx.channel().isWritable || untakenBytes < readLimitBytes

    private val untakenBytes: Long get() = ctx.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    /** Writes a part of the body and takes ownership of [content]. */
    fun write(content: ByteBuf) {
        if (onHeld == null) ctx.writeAndFlush(DefaultHttpContent(content)) else writeBounded(content, onHeld)
    }

    /** Sets that the answer ends with [write]. */
    fun end(write: ChannelFuture) {
        lastWrite = write
        if (!write.isDone) onHeld?.invoke(this, 0)
    }

    override fun measure(): HeldMeasure? {
        val bytes = untakenBytes
        val isTaken = lastWrite?.isDone ?: false
        if (bytes == 0L || isTaken) return null
        return HeldMeasure(bytes, takenParts, isWritable || lastWrite != null, isComplete = lastWrite != null)
    }

    override fun setReadLimit(bytes: Long) {
        readLimitBytes = bytes
        onReadingChange()
    }

    override fun updateReading() = onReadingChange()

    override fun cut() {
        if (lastWrite?.isDone == true || !ctx.channel().isOpen) return
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0)
        ctx.close()
        onReadingChange()
    }

    /** Writes [content] in parts, whose progress can be seen. */
    private fun writeBounded(content: ByteBuf, onHeld: (HeldAnswer, Int) -> Unit) {
        val size = content.readableBytes()
        val isBehind = untakenBytes > 0
        while (content.readableBytes() > PART_BYTES) writePart(content.readRetainedSlice(PART_BYTES))
        if (isBehind) writePart(copyOf(content)) else writePart(content)
        ctx.flush()
        if (untakenBytes > 0) onHeld(this, size)
    }

    private fun writePart(part: ByteBuf) {
        ctx.write(DefaultHttpContent(part)).addListener(takenListener)
    }

    /** What has to wait must not keep the whole buffer that it was read into. */
    private fun copyOf(content: ByteBuf): ByteBuf {
        val copy = ctx.alloc().buffer(content.readableBytes()).writeBytes(content)
        content.release()
        return copy
    }

    private companion object {
        const val PART_BYTES = 16_384
    }
}
