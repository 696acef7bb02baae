package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.DigestStamp
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/** Sends the other gateways the totals that this one has admitted, and charges those that are unresponsive. */
class PeerSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val tables = step.tables
        val totals = tables.buckets.mapValues { it.value.ownConsumed }.toPersistentMap()
        return if (isDigestDue(tables, totals, tick.now)) sendDigests(step, totals, tick.now) else step
    }

    private fun isDigestDue(tables: GatewayTables, totals: PersistentMap<AccountId, Long>, now: Timestamp): Boolean {
        val lastSentAt = tables.peerDigestSentAt ?: return true
        val isIdle = totals == tables.sentPeerTotals
        val interval = if (isIdle) tables.settings.peerDigestInterval * IDLE_INTERVAL_FACTOR else busyInterval(tables)
        return now - lastSentAt >= interval
    }

    /** The interval grows with the fleet, so that the digests that a gateway sends and receives per second do not. */
    private fun busyInterval(tables: GatewayTables): Duration =
        tables.settings.peerDigestInterval * maxOf(1.0, tables.gatewayCount / GATEWAYS_AT_FULL_RATE)

    private fun sendDigests(step: GatewayStep, totals: PersistentMap<AccountId, Long>, now: Timestamp): GatewayStep {
        val tables = step.tables
        val digest = PeerDigest(
            sender = tables.identity.name,
            incarnation = tables.identity.incarnation,
            number = tables.peerDigestNumber + 1,
            admittedTokens = totals,
            configVersion = tables.config?.version ?: 0,
            confirmedMillisAgo = tables.timeSinceConfirmation(now).inWholeMilliseconds,
            lastReceived = receivedStamps(tables),
        )
        return step
            .emitAll(tables.reachablePeers(now).map { GatewayEffect.SendPeerDigest(it.endpoint, digest) })
            .update { it.refillBuckets(now).recordSent(digest, now) }
    }

    /** Includes gateways that are no longer listed but still send digests: they need the totals of the others too. */
    private fun GatewayTables.reachablePeers(now: Timestamp): List<PeerRow> =
        peers.values.filter { row ->
            row.isListed || row.digestReceivedAt?.let { now - it <= settings.peerDigestTimeout } ?: false
        }

    private fun receivedStamps(tables: GatewayTables): PersistentMap<String, DigestStamp> =
        tables.peers.values
            .filter { it.digestReceivedAt != null }
            .sortedByDescending { it.digestReceivedAt }
            .take(MAX_STAMPS)
            .associate { it.name to DigestStamp(it.incarnation, it.number) }
            .toPersistentMap()

    private fun GatewayTables.recordSent(digest: PeerDigest, now: Timestamp): GatewayTables =
        copy(
            peerDigestNumber = digest.number,
            peerDigestSendTimes = peerDigestSendTimes.put(digest.number, now).remove(digest.number - MAX_SEND_TIMES),
            peerDigestSentAt = now,
            sentPeerTotals = digest.admittedTokens,
        )

    private fun GatewayTables.refillBuckets(now: Timestamp): GatewayTables {
        val unresponsive = unresponsivePeers(now)
        return copy(buckets = buckets.mapValues { it.value.refill(now, unresponsive, gatewayCount) }.toPersistentMap())
    }

    private companion object {
        const val IDLE_INTERVAL_FACTOR = 4
        const val MAX_SEND_TIMES = 32L

        /** Keeps a digest within one datagram. */
        const val MAX_STAMPS = 24
        const val GATEWAYS_AT_FULL_RATE = 12.0
    }
}
