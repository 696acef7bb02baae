package org.ragwortbank.node.wire

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Version of the protocol between processes; a process rejects connections of another version. */
internal const val PROTOCOL_VERSION: Int = 1

/** Maximum length of a frame, in bytes. */
internal const val MAX_FRAME_BYTES: Int = 32 * 1024 * 1024

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

/** Encodes [message] as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrame(message: WireMessage): ByteArray = cbor.encodeToByteArray(WireMessage.serializer(), message)

/**
 * Decodes a message from CBOR; returns null if [bytes] are malformed.
 *
 * The decoder throws exceptions of many types for damaged bytes, and nested tags can overflow the stack because it
 * descends into them recursively.
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

/** Writes the length of [frame] and then the frame itself, without flushing. */
internal suspend fun ByteWriteChannel.writeFrame(frame: ByteArray) {
    writeInt(frame.size)
    writeByteArray(frame)
}

/** Reads one frame; returns null if its length or content is invalid. */
internal suspend fun ByteReadChannel.readFrame(): WireMessage? {
    val size = readInt()
    return if (size in 1..MAX_FRAME_BYTES) decodeFrame(readByteArray(size)) else null
}
