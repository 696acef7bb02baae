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

/** A digest as it came in a datagram. */
sealed interface ReceivedDigest {
    /** What an entry wants. */
    data class Demand(val digest: DemandDigest) : ReceivedDigest

    /** What an engine holds. */
    data class Engine(val digest: EngineDigest) : ReceivedDigest

    /** What an entry has admitted. */
    data class Peer(val digest: PeerDigest) : ReceivedDigest

    /** Bytes that are no digest. */
    data class Bad(val cause: String) : ReceivedDigest
}

/**
 * Digests as CBOR behind a checksum.
 *
 * The CBOR library may loop or overflow its stack on bytes that it did not write, so only bytes with the right
 * checksum reach it.
 */
@OptIn(ExperimentalSerializationApi::class)
object DigestCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

    /** Encodes what an entry wants. */
    fun encode(digest: DemandDigest): ByteArray = seal(WireDigest(demand = digest.toWire()))

    /** Encodes what an engine holds. */
    fun encode(digest: EngineDigest): ByteArray = seal(WireDigest(engine = digest.toWire()))

    /** Encodes what an entry has admitted. */
    fun encode(digest: PeerDigest): ByteArray = seal(WireDigest(peer = digest.toWire()))

    /** Decodes a datagram. */
    fun decode(bytes: ByteArray): ReceivedDigest {
        val content = ByteBuffer.wrap(bytes)
        val sealed = bytes.size > HEAD_BYTES && content.getInt() == MARK && content.getInt() == checksum(bytes)
        return when {
            sealed -> parse(bytes.copyOfRange(HEAD_BYTES, bytes.size))
            else -> ReceivedDigest.Bad("wrong mark or checksum")
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun parse(content: ByteArray): ReceivedDigest =
        try {
            val wire = cbor.decodeFromByteArray<WireDigest>(content)
            wire.demand?.let { ReceivedDigest.Demand(it.toDigest()) }
                ?: wire.engine?.let { ReceivedDigest.Engine(it.toDigest()) }
                ?: wire.peer?.let { ReceivedDigest.Peer(it.toDigest()) }
                ?: ReceivedDigest.Bad("no digest in it")
        } catch (e: RuntimeException) {
            ReceivedDigest.Bad(e.message ?: "not a digest of this version")
        }

    private fun seal(digest: WireDigest): ByteArray {
        val content = cbor.encodeToByteArray(digest)
        val bytes = ByteBuffer.allocate(HEAD_BYTES + content.size).putInt(MARK).putInt(0).put(content).array()
        ByteBuffer.wrap(bytes).putInt(MARK_BYTES, checksum(bytes))
        return bytes
    }

    /** Of everything behind the head. */
    private fun checksum(bytes: ByteArray): Int {
        val sum = CRC32()
        sum.update(bytes, HEAD_BYTES, bytes.size - HEAD_BYTES)
        return sum.value.toInt()
    }

    /** "RWB" and the version of the format. */
    private const val MARK = 0x52574201
    private const val MARK_BYTES = 4
    private const val HEAD_BYTES = 8
}

private fun AdapterKey.toWire(version: Long? = null) = WireAdapter(model, adapter, version)

private fun WireAdapter.key() = AdapterKey(model, adapter)

private fun DemandDigest.toWire() = WireDemand(
    sender = sender,
    stamp = WireStamp(incarnation, number),
    upstream = upstream.value,
    wishes = loadRequests.map { it.adapter.toWire(it.version) },
    used = inUse.map { it.toWire() },
    models = engine.models.values.map { WireModel(it.name, it.weightsMegabytes, it.adapterMegabytes) },
    memoryMegabytes = engine.memoryMegabytes,
    adapterSlots = engine.adapterSlots,
)

private fun WireDemand.toDigest() = DemandDigest(
    sender = sender,
    incarnation = stamp.incarnation,
    number = stamp.number,
    upstream = UpstreamId(upstream),
    loadRequests = wishes.map { LoadRequest(it.key(), it.version) }.toPersistentList(),
    inUse = used.map { it.key() }.toPersistentSet(),
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
    holds = resident.map { it.key.toWire(it.value) },
    coming = loading.map { it.key.toWire(it.value) },
    used = inUse.map { it.toWire() },
    models = residentModels.toList(),
    running = runningRequests,
    queued = queuedRequests,
    free = freeSlots,
)

private fun WireEngine.toDigest() = EngineDigest(
    upstream = UpstreamId(upstream),
    incarnation = stamp.incarnation,
    number = stamp.number,
    resident = holds.associate { it.key() to (it.version ?: 0) }.toPersistentMap(),
    loading = coming.associate { it.key() to (it.version ?: 0) }.toPersistentMap(),
    inUse = used.map { it.key() }.toPersistentSet(),
    residentModels = models.toPersistentSet(),
    runningRequests = running,
    queuedRequests = queued,
    freeSlots = free,
)

private fun PeerDigest.toWire() = WirePeer(
    sender = sender,
    stamp = WireStamp(incarnation, number),
    used = admittedTokens.mapKeys { it.key.value },
    configVersion = configVersion,
    confirmedMillisAgo = confirmedMillisAgo,
    heard = lastReceived.mapValues { WireStamp(it.value.incarnation, it.value.number) },
)

private fun WirePeer.toDigest() = PeerDigest(
    sender = sender,
    incarnation = stamp.incarnation,
    number = stamp.number,
    admittedTokens = used.mapKeys { AccountId(it.key) }.toPersistentMap(),
    configVersion = configVersion,
    confirmedMillisAgo = confirmedMillisAgo,
    lastReceived = heard.mapValues { DigestStamp(it.value.incarnation, it.value.number) }.toPersistentMap(),
)
