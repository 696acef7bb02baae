package org.ragwortbank.node.datagram

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.PeerDigest
import java.nio.ByteBuffer
import java.util.zip.CRC32

/** Result of decoding a datagram. */
sealed interface ReceivedDigest {
    /** Load requests and adapters in use of a gateway, sent to a placer. */
    data class Demand(val digest: DemandDigest) : ReceivedDigest

    /** Adapters and load of an engine, sent by its placer. */
    data class Engine(val digest: EngineDigest) : ReceivedDigest

    /** Tokens that a gateway has admitted, sent to other gateways. */
    data class Peer(val digest: PeerDigest) : ReceivedDigest

    /** Bytes that are not a valid digest. */
    data class Malformed(val cause: String) : ReceivedDigest
}

/**
 * Encodes digests as CBOR after a header with a checksum.
 *
 * The CBOR library may loop or overflow its stack on bytes that it did not write, so only bytes with a matching
 * checksum are passed to it.
 */
@OptIn(ExperimentalSerializationApi::class)
object DigestCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

    fun encode(digest: DemandDigest): ByteArray = encodeWithChecksum(WireDigest(demand = digest.toWire()))

    fun encode(digest: EngineDigest): ByteArray = encodeWithChecksum(WireDigest(engine = digest.toWire()))

    fun encode(digest: PeerDigest): ByteArray = encodeWithChecksum(WireDigest(peer = digest.toWire()))

    /** Decodes a datagram; bytes that are not a digest give [ReceivedDigest.Malformed]. */
    fun decode(bytes: ByteArray): ReceivedDigest {
        val content = ByteBuffer.wrap(bytes)
        val isIntact = bytes.size > HEADER_BYTES && content.getInt() == MAGIC && content.getInt() == checksum(bytes)
        return when {
            isIntact -> decodeContent(bytes.copyOfRange(HEADER_BYTES, bytes.size))
            else -> ReceivedDigest.Malformed("wrong magic number or checksum")
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun decodeContent(content: ByteArray): ReceivedDigest =
        try {
            val wire = cbor.decodeFromByteArray<WireDigest>(content)
            wire.demand?.let { ReceivedDigest.Demand(it.toDigest()) }
                ?: wire.engine?.let { ReceivedDigest.Engine(it.toDigest()) }
                ?: wire.peer?.let { ReceivedDigest.Peer(it.toDigest()) }
                ?: ReceivedDigest.Malformed("expected a demand, engine or peer digest, found none")
        } catch (e: RuntimeException) {
            ReceivedDigest.Malformed(e.message ?: "content does not match the digest format")
        }

    private fun encodeWithChecksum(digest: WireDigest): ByteArray {
        val content = cbor.encodeToByteArray(digest)
        val bytes = ByteBuffer.allocate(HEADER_BYTES + content.size).putInt(MAGIC).putInt(0).put(content).array()
        ByteBuffer.wrap(bytes).putInt(CHECKSUM_OFFSET, checksum(bytes))
        return bytes
    }

    /** Checksum of everything after the header. */
    private fun checksum(bytes: ByteArray): Int {
        val crc = CRC32()
        crc.update(bytes, HEADER_BYTES, bytes.size - HEADER_BYTES)
        return crc.value.toInt()
    }

    /** "RWB" and the version of the format: the first four bytes of the header, before the checksum. */
    private const val MAGIC = 0x52574202
    private const val CHECKSUM_OFFSET = 4
    private const val HEADER_BYTES = 8
}
