package org.ragwortbank.node.datagram

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a datagram between two processes holds: exactly one of its fields is set. */
@Serializable
internal data class WireDigest(
    @SerialName("d") val demand: WireDemand? = null,
    @SerialName("e") val engine: WireEngine? = null,
    @SerialName("p") val peer: WirePeer? = null,
)

/** Names a digest: the process's incarnation and the digest's number. */
@Serializable
internal data class WireStamp(
    @SerialName("i") val incarnation: Long,
    @SerialName("n") val number: Long,
)

/** An adapter, with the version if one is meant. */
@Serializable
internal data class WireAdapter(
    @SerialName("m") val model: String,
    @SerialName("a") val adapter: String,
    @SerialName("v") val version: Long? = null,
)

/** A base model that an engine may hold. */
@Serializable
internal data class WireModel(
    @SerialName("n") val name: String,
    @SerialName("w") val weightsMegabytes: Double,
    @SerialName("a") val adapterMegabytes: Double,
)

/** What an entry wants of an engine. */
@Serializable
internal data class WireDemand(
    @SerialName("s") val sender: String,
    @SerialName("t") val stamp: WireStamp,
    @SerialName("u") val upstream: String,
    @SerialName("w") val loadRequests: List<WireAdapter> = emptyList(),
    @SerialName("o") val inUse: List<WireAdapter> = emptyList(),
    @SerialName("m") val models: List<WireModel> = emptyList(),
    @SerialName("r") val memoryMegabytes: Double,
    @SerialName("p") val adapterSlots: Int,
)

/** What an engine holds. */
@Serializable
internal data class WireEngine(
    @SerialName("u") val upstream: String,
    @SerialName("t") val stamp: WireStamp,
    @SerialName("h") val resident: List<WireAdapter> = emptyList(),
    @SerialName("c") val loading: List<WireAdapter> = emptyList(),
    @SerialName("o") val inUse: List<WireAdapter> = emptyList(),
    @SerialName("m") val residentModels: List<String> = emptyList(),
    @SerialName("r") val runningRequests: Int = 0,
    @SerialName("q") val queuedRequests: Int = 0,
    @SerialName("f") val freeSlots: Int = 0,
)

/** What an entry has admitted. */
@Serializable
internal data class WirePeer(
    @SerialName("s") val sender: String,
    @SerialName("t") val stamp: WireStamp,
    @SerialName("u") val admittedTokens: Map<String, Long> = emptyMap(),
    @SerialName("v") val configVersion: Long = 0,
    @SerialName("c") val confirmedMillisAgo: Long = 0,
    @SerialName("h") val lastReceived: Map<String, WireStamp> = emptyMap(),
)
