package org.ragwortbank.node.datagram

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.DigestStamp
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.LoadRequest
import org.ragwortbank.core.serving.ModelSpec
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.UpstreamId
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
    private const val MAGIC = 0x52574201
    private const val CHECKSUM_OFFSET = 4
    private const val HEADER_BYTES = 8
}

private fun AdapterKey.toWire(version: Long? = null) = WireAdapter(model, adapter, version)

private fun WireAdapter.toKey() = AdapterKey(model, adapter)

private fun DemandDigest.toWire() = WireDemand(
    sender = sender,
    stamp = WireStamp(incarnation, number),
    upstream = upstream.value,
    loadRequests = loadRequests.map { it.adapter.toWire(it.version) },
    inUse = inUse.map { it.toWire() },
    models = engine.models.values.map { WireModel(it.name, it.weightsMegabytes, it.adapterMegabytes) },
    memoryMegabytes = engine.memoryMegabytes,
    adapterSlots = engine.adapterSlots,
)

private fun WireDemand.toDigest() = DemandDigest(
    sender = sender,
    incarnation = stamp.incarnation,
    number = stamp.number,
    upstream = UpstreamId(upstream),
    loadRequests = loadRequests.map { LoadRequest(it.toKey(), it.version) }.toPersistentList(),
    inUse = inUse.map { it.toKey() }.toPersistentSet(),
    engine = EngineSpec(
        models = models
            .associate { it.name to ModelSpec(it.name, it.weightsMegabytes, it.adapterMegabytes) }
            .toPersistentMap(),
        memoryMegabytes = memoryMegabytes,
        adapterSlots = adapterSlots,
    ),
)

private fun EngineDigest.toWire() = WireEngine(
    upstream = upstream.value,
    stamp = WireStamp(incarnation, number),
    resident = resident.map { it.key.toWire(it.value) },
    loading = loading.map { it.key.toWire(it.value) },
    inUse = inUse.map { it.toWire() },
    residentModels = residentModels.toList(),
    runningRequests = runningRequests,
    queuedRequests = queuedRequests,
    freeSlots = freeSlots,
)

private fun WireEngine.toDigest() = EngineDigest(
    upstream = UpstreamId(upstream),
    incarnation = stamp.incarnation,
    number = stamp.number,
    resident = resident.associate { it.toKey() to (it.version ?: 0) }.toPersistentMap(),
    loading = loading.associate { it.toKey() to (it.version ?: 0) }.toPersistentMap(),
    inUse = inUse.map { it.toKey() }.toPersistentSet(),
    residentModels = residentModels.toPersistentSet(),
    runningRequests = runningRequests,
    queuedRequests = queuedRequests,
    freeSlots = freeSlots,
)

private fun PeerDigest.toWire() = WirePeer(
    sender = sender,
    stamp = WireStamp(incarnation, number),
    admittedTokens = admittedTokens.mapKeys { it.key.value },
    configVersion = configVersion,
    confirmedMillisAgo = confirmedMillisAgo,
    lastReceived = lastReceived.mapValues { WireStamp(it.value.incarnation, it.value.number) },
)

private fun WirePeer.toDigest() = PeerDigest(
    sender = sender,
    incarnation = stamp.incarnation,
    number = stamp.number,
    admittedTokens = admittedTokens.mapKeys { AccountId(it.key) }.toPersistentMap(),
    configVersion = configVersion,
    confirmedMillisAgo = confirmedMillisAgo,
    lastReceived = lastReceived.mapValues { DigestStamp(it.value.incarnation, it.value.number) }.toPersistentMap(),
)
