package org.ragwortbank.node.datagram

import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.DigestStamp
import org.ragwortbank.core.serving.PeerDigest

internal fun PeerDigest.toWire() = WirePeer(
    sender = sender,
    stamp = WireStamp(incarnation, number),
    admittedTokens = admittedTokens.mapKeys { it.key.value },
    configVersion = configVersion,
    confirmedMillisAgo = confirmedMillisAgo,
    lastReceived = lastReceived.mapValues { WireStamp(it.value.incarnation, it.value.number) },
)

internal fun WirePeer.toDigest() = PeerDigest(
    sender = sender,
    incarnation = stamp.incarnation,
    number = stamp.number,
    admittedTokens = admittedTokens.mapKeys { AccountId(it.key) }.toPersistentMap(),
    configVersion = configVersion,
    confirmedMillisAgo = confirmedMillisAgo,
    lastReceived = lastReceived.mapValues { DigestStamp(it.value.incarnation, it.value.number) }.toPersistentMap(),
)
