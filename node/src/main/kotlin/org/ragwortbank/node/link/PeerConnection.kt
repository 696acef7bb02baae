package org.ragwortbank.node.link

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.ragwortbank.node.PendingWrites
import org.ragwortbank.node.wire.WireMessage
import org.ragwortbank.node.wire.encodeFrame
import org.ragwortbank.node.wire.readFrame
import org.ragwortbank.node.wire.writeFrame

/** An open connection to another process; one writer sends the queued frames in order. */
internal class PeerConnection(private val socket: Socket, private val writes: PendingWrites = PendingWrites()) {
    private val outgoing = Channel<ByteArray>(OUTGOING_QUEUE_FRAMES)

    /** Queues [message]; closes the connection if the queue is full because the peer reads too slowly. */
    fun send(message: WireMessage) {
        writes.register()
        val isQueued = outgoing.trySend(encodeFrame(message)).isSuccess
        if (!isQueued) {
            writes.complete()
            socket.close()
        }
    }

    /** Closes the socket, which ends [serve]. */
    fun close() = socket.close()

    /**
     * Writes queued frames and passes received ones to [onMessage] until the connection closes.
     *
     * @return why it closed
     */
    suspend fun serve(onMessage: (WireMessage) -> Boolean): String =
        coroutineScope {
            val writer = launch { writeFrames(socket.openWriteChannel(), outgoing) }
            try {
                readFrames(onMessage)
            } finally {
                writer.cancel()
                socket.close()
                outgoing.close()
                generateSequence { outgoing.tryReceive().getOrNull() }.forEach { _ -> writes.complete() }
            }
        }

    private suspend fun readFrames(onMessage: (WireMessage) -> Boolean): String {
        val input = socket.openReadChannel()
        while (true) {
            val message = input.readFrame() ?: return "malformed frame"
            if (!onMessage(message)) return "unexpected frame"
        }
    }

    private suspend fun writeFrames(output: ByteWriteChannel, frames: ReceiveChannel<ByteArray>) {
        for (frame in frames) {
            val batch = listOf(frame) + generateSequence { frames.tryReceive().getOrNull() }
            try {
                batch.forEach { output.writeFrame(it) }
                output.flush()
            } finally {
                batch.forEach { _ -> writes.complete() }
            }
        }
    }

    private companion object {
        const val OUTGOING_QUEUE_FRAMES = 16_384
    }
}
