package org.ragwortbank.node.wire

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Version of the protocol between processes; a process refuses links of another version. */
internal const val PROTOCOL_VERSION: Int = 1

/** Longest frame in bytes. */
internal const val MAX_FRAME_BYTES: Int = 32 * 1024 * 1024

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

/** The CBOR form of [message]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrame(message: WireMessage): ByteArray = cbor.encodeToByteArray(WireMessage.serializer(), message)

/**
 * The message whose CBOR form [bytes] are; null when they are malformed.
 *
 * The decoder reports damaged bytes by exceptions of many kinds, and follows nested tags by recursion.
 */
@OptIn(ExperimentalSerializationApi::class)
@Suppress("TooGenericExceptionCaught")
internal fun decodeFrame(bytes: ByteArray): WireMessage? =
    try {
        cbor.decodeFromByteArray(WireMessage.serializer(), bytes)
    } catch (_: RuntimeException) {
        null
    } catch (_: StackOverflowError) {
        null
    }

/** Writes [frame] with its length before it, without a flush. */
internal suspend fun ByteWriteChannel.writeFrame(frame: ByteArray) {
    writeInt(frame.size)
    writeByteArray(frame)
}

/** Reads one frame; null when its length or content is not acceptable. */
internal suspend fun ByteReadChannel.readFrame(): WireMessage? {
    val size = readInt()
    return if (size in 1..MAX_FRAME_BYTES) decodeFrame(readByteArray(size)) else null
}
