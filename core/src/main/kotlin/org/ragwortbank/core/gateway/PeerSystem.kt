package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.DigestStamp
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Sends the other gateways the totals that this one has admitted, and charges those that are unresponsive.
 *
 * The interval grows with the fleet. While an account uses its tokens so fast that the others would exceed its rate
 * before they learn of it, digests are sent as often as in a small fleet.
 */
class PeerSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        if (step.tables.isPeerDigestDue(tick.now)) sendDigests(step, tick.now) else step

    private fun sendDigests(step: GatewayStep, now: Timestamp): GatewayStep {
        val tables = step.tables
        val totals = tables.buckets.mapValues { it.value.ownConsumed }.toPersistentMap()
        val digest = PeerDigest(
            sender = tables.identity.name,
            incarnation = tables.identity.incarnation,
            number = tables.peerDigestNumber + 1,
            admittedTokens = if (tables.isFullDigestDue) totals else tables.changedTotals(totals),
            configVersion = tables.config?.version ?: 0,
            confirmedMillisAgo = tables.timeSinceConfirmation(now).inWholeMilliseconds,
            lastReceived = tables.unconfirmedPeers(now),
            crashes = tables.crashReports(now),
            clearedTraits = tables.clearedTraitAges(now),
            blocks = tables.blocksToSpread(now),
        )
        val endpoints = tables.reachablePeers(now).map { it.endpoint }.toPersistentList()
        return step
            .emit(GatewayEffect.SendPeerDigest(endpoints, digest))
            .update { it.refillBuckets(now).recordSent(digest, totals, now) }
    }

    /** Includes gateways that are no longer listed but still send digests: they need the totals of the others too. */
    private fun GatewayTables.reachablePeers(now: Timestamp): List<PeerRow> {
        val timeout = settings.peerTimeout(gatewayCount)
        return peers.values.filter { row -> row.isListed || row.digestReceivedAt?.let { now - it <= timeout } ?: false }
    }

    private val GatewayTables.isFullDigestDue: Boolean
        get() = needsFullPeerDigest || (peerDigestNumber + 1) % FULL_DIGEST_PERIOD == 0L

    /** Of [totals], those that have changed in the latest digests, any of which may be lost. */
    private fun GatewayTables.changedTotals(totals: PersistentMap<AccountId, Long>): PersistentMap<AccountId, Long> =
        totals.filter { (account, total) -> sentPeerTotals.any { it[account] != total } }.toPersistentMap()

    /** The newest digests received from peers that need others to confirm their configuration. */
    private fun GatewayTables.unconfirmedPeers(now: Timestamp): PersistentMap<String, DigestStamp> =
        peers.values
            .filter { it.needsConfirmation(now) }
            .sortedByDescending { it.digestReceivedAt }
            .take(MAX_STAMPS)
            .associate { it.name to it.stamp }
            .toPersistentMap()

    private fun GatewayTables.recordSent(
        digest: PeerDigest,
        totals: PersistentMap<AccountId, Long>,
        now: Timestamp,
    ): GatewayTables =
        copy(
            peerDigestNumber = digest.number,
            peerDigestSendTimes = peerDigestSendTimes.put(digest.number, now).remove(digest.number - MAX_SEND_TIMES),
            peerDigestSentAt = now,
            sentPeerTotals = (listOf(totals) + sentPeerTotals).take(PeerDigest.REPEATS).toPersistentList(),
            needsFullPeerDigest = false,
        )

    private fun GatewayTables.refillBuckets(now: Timestamp): GatewayTables {
        val unresponsive = unresponsivePeers(now)
        val refilled = buckets.mapValues { (_, bucket) ->
            withUseSampled(bucket.refill(now, unresponsive, gatewayCount), now)
        }
        return copy(buckets = refilled.toPersistentMap())
    }

    private companion object {
        const val MAX_SEND_TIMES = 32L
        const val FULL_DIGEST_PERIOD = 8L

        /** Keeps a digest within one datagram. */
        const val MAX_STAMPS = 24
    }
}
