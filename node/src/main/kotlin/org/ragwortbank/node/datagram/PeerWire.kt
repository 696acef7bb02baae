package org.ragwortbank.node.datagram

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.crash.CrashPlace
import org.ragwortbank.core.crash.CrashReport
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.crash.SuspectRequests
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.DigestStamp
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.RequestFingerprint
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamIncarnation
import kotlin.time.Duration.Companion.milliseconds

internal fun PeerDigest.toWire() = WirePeer(
    sender = sender,
    stamp = WireStamp(incarnation, number),
    admittedTokens = admittedTokens.mapKeys { it.key.value },
    configVersion = configVersion,
    confirmedMillisAgo = confirmedMillisAgo,
    lastReceived = lastReceived.mapValues { WireStamp(it.value.incarnation, it.value.number) },
    crashes = crashes.map { it.toWire() },
    clearedTraits = clearedTraits.entries.associate { (trait, age) -> trait.toString() to age.inWholeMilliseconds },
    blocks = blocks.map { it.toString() },
)

/** The digest of a peer; totals below zero and traits that were cleared in the future are left out. */
internal fun WirePeer.toDigest() = PeerDigest(
    sender = sender,
    incarnation = stamp.incarnation,
    number = stamp.number,
    admittedTokens = admittedTokens.filterValues { it >= 0 }.mapKeys { AccountId(it.key) }.toPersistentMap(),
    configVersion = configVersion,
    confirmedMillisAgo = confirmedMillisAgo,
    lastReceived = lastReceived.mapValues { DigestStamp(it.value.incarnation, it.value.number) }.toPersistentMap(),
    crashes = crashes.map { it.toReport() }.toPersistentList(),
    clearedTraits = clearedTraits.filterValues { it >= 0 }.byTrait { it.milliseconds },
    blocks = blocks.mapNotNull { CrashTrait.parse(it) }.toPersistentSet(),
)

private fun CrashReport.toWire() = WireCrash(
    upstream = crash.upstream.value,
    startedMillis = crash.startedMillis,
    service = place.service.value,
    host = place.host,
    ageMillis = age.inWholeMilliseconds,
    suspects = suspects.entries
        .filter { (trait, _) -> trait !is CrashTrait.Repeat }
        .associate { (trait, requests) ->
            trait.toString() to WireSuspects(requests.breadth, requests.fingerprints.map { it.value })
        },
    fingerprints = suspects.keys.filterIsInstance<CrashTrait.Repeat>().map { it.fingerprint.value },
)

private fun WireCrash.toReport() = CrashReport(
    crash = UpstreamIncarnation(UpstreamId(upstream), startedMillis),
    place = CrashPlace(ServiceName(service), host),
    age = ageMillis.coerceAtLeast(0).milliseconds,
    suspects = suspects.byTrait { requests ->
        SuspectRequests(requests.breadth, requests.fingerprints.map { RequestFingerprint(it) }.toPersistentSet())
    }.putAll(fingerprints.map { RequestFingerprint(it) }.associate(::repeats)),
)

private fun repeats(fingerprint: RequestFingerprint) =
    CrashTrait.Repeat(fingerprint) to SuspectRequests.repeatsOf(fingerprint)

/** Traits of a kind that this build doesn't know are skipped. */
private fun <V, R> Map<String, V>.byTrait(convert: (V) -> R): PersistentMap<CrashTrait, R> =
    entries
        .mapNotNull { (name, value) -> CrashTrait.parse(name)?.let { it to convert(value) } }
        .toMap()
        .toPersistentMap()
