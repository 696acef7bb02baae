package org.ragwortbank.node.datagram

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Content of a datagram between two processes: exactly one of its fields is set. */
@Serializable
internal data class WireDigest(
    @SerialName("d") val demand: WireDemand? = null,
    @SerialName("e") val engine: WireEngine? = null,
    @SerialName("p") val peer: WirePeer? = null,
)

/** Identifies a digest of a sender: the process's incarnation and the digest's number. */
@Serializable
internal data class WireStamp(
    @SerialName("i") val incarnation: Long,
    @SerialName("n") val number: Long,
)

/** An adapter whose load is requested, with its version where one is specified, and what waits for it. */
@Serializable
internal data class WireAdapter(
    @SerialName("m") val model: String,
    @SerialName("a") val adapter: String,
    @SerialName("v") val version: Long? = null,
    @SerialName("c") val requestCount: Int = 1,
    @SerialName("w") val waitingMillis: Long = 0,
    @SerialName("r") val rank: Int? = null,
)

/** A base model that an engine can serve, with its memory sizes. */
@Serializable
internal data class WireModel(
    @SerialName("n") val name: String,
    @SerialName("w") val weightsMegabytes: Double,
    @SerialName("a") val adapterMegabytes: Double,
)

/** Encoded form of a demand digest: what a gateway requests of an engine; adapters in use by base model. */
@Serializable
internal data class WireDemand(
    @SerialName("s") val sender: String,
    @SerialName("t") val stamp: WireStamp,
    @SerialName("u") val upstream: String,
    @SerialName("b") val upstreamStartedMillis: Long = 0,
    @SerialName("i") val digestIntervalMillis: Long = 0,
    @SerialName("w") val loadRequests: List<WireAdapter> = emptyList(),
    @SerialName("o") val inUse: Map<String, List<String>> = emptyMap(),
    @SerialName("e") val engine: WireEngineSpec? = null,
    @SerialName("v") val isEvacuated: Boolean = false,
)

/** Encoded form of an engine's capacity. */
@Serializable
internal data class WireEngineSpec(
    @SerialName("m") val models: List<WireModel> = emptyList(),
    @SerialName("r") val memoryMegabytes: Double,
    @SerialName("p") val adapterSlots: Int,
)

/** Encoded form of an engine digest; adapters are listed by name under their base model, versions behind the name. */
@Serializable
internal data class WireEngine(
    @SerialName("u") val upstream: String,
    @SerialName("t") val stamp: WireStamp,
    @SerialName("h") val resident: Map<String, Map<String, Long>> = emptyMap(),
    @SerialName("c") val loading: Map<String, Map<String, Long>> = emptyMap(),
    @SerialName("o") val inUse: Map<String, List<String>> = emptyMap(),
    @SerialName("m") val residentModels: List<String> = emptyList(),
    @SerialName("r") val runningRequests: Int = 0,
    @SerialName("q") val queuedRequests: Int = 0,
    @SerialName("f") val freeSlots: Int = 0,
    @SerialName("l") val requestedLoads: Int = 0,
    @SerialName("g") val millisPerToken: Float = 0f,
    @SerialName("k") val usedTokens: Long? = null,
)

/** Encoded form of a peer digest: tokens that a gateway has admitted. */
@Serializable
internal data class WirePeer(
    @SerialName("s") val sender: String,
    @SerialName("t") val stamp: WireStamp,
    @SerialName("u") val admittedTokens: Map<String, Long> = emptyMap(),
    @SerialName("v") val configVersion: Long = 0,
    @SerialName("c") val confirmedMillisAgo: Long = 0,
    @SerialName("h") val lastReceived: Map<String, WireStamp> = emptyMap(),
    @SerialName("x") val crashes: List<WireCrash> = emptyList(),
    @SerialName("k") val clearedTraits: Map<String, Long> = emptyMap(),
    @SerialName("b") val blocks: List<String> = emptyList(),
)

/** Encoded form of what a gateway saw of a crash: suspects by the traits that they share, and the requests alone. */
@Serializable
internal data class WireCrash(
    @SerialName("u") val upstream: String,
    @SerialName("b") val startedMillis: Long,
    @SerialName("v") val service: String,
    @SerialName("h") val host: String,
    @SerialName("a") val ageMillis: Long,
    @SerialName("s") val suspects: Map<String, WireSuspects> = emptyMap(),
    @SerialName("f") val fingerprints: List<Long> = emptyList(),
)

/** Encoded form of the requests with a trait. */
@Serializable
internal data class WireSuspects(
    @SerialName("b") val breadth: Int,
    @SerialName("f") val fingerprints: List<Long>,
)
