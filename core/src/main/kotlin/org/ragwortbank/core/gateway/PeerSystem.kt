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

/** Tells the other entries what this one has admitted, and charges those that are silent. */
class PeerSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val tables = step.tables
        val totals = tables.buckets.mapValues { it.value.ownTotal }.toPersistentMap()
        return if (due(tables, totals, tick.now)) tell(step, totals, tick.now) else step
    }

    private fun due(tables: GatewayTables, totals: PersistentMap<AccountId, Long>, now: Timestamp): Boolean {
        val at = tables.peersToldAt ?: return true
        val idle = totals == tables.peersTold
        return now - at >= if (idle) tables.settings.peerDigestInterval * IDLE_FACTOR else interval(tables)
    }

    /** Grows with the fleet, so that what an entry sends and receives a second does not. */
    private fun interval(tables: GatewayTables): Duration =
        tables.settings.peerDigestInterval * maxOf(1.0, tables.gatewayCount / PEERS_AT_FULL_PACE)

    private fun tell(step: GatewayStep, totals: PersistentMap<AccountId, Long>, now: Timestamp): GatewayStep {
        val tables = step.tables
        val digest = PeerDigest(
            sender = tables.identity.name,
            incarnation = tables.identity.incarnation,
            number = tables.peerNumber + 1,
            used = totals,
            configVersion = tables.config?.version ?: 0,
            confirmedMillisAgo = tables.timeSinceConfirmation(now).inWholeMilliseconds,
            heard = heard(tables),
        )
        return step
            .emitAll(tables.livePeers(now).map { GatewayEffect.SendPeerDigest(it.endpoint, digest) })
            .update { it.refilled(now).told(digest, now) }
    }

    /** One that is listed no more and still tells its use must know that of the others too. */
    private fun GatewayTables.livePeers(now: Timestamp): List<PeerRow> =
        peers.values.filter { row ->
            row.listed || row.heardAt?.let { now - it <= settings.peerDigestTimeout } ?: false
        }

    private fun heard(tables: GatewayTables): PersistentMap<String, DigestStamp> =
        tables.peers.values
            .filter { it.heardAt != null }
            .sortedByDescending { it.heardAt }
            .take(MAX_HEARD)
            .associate { it.name to DigestStamp(it.incarnation, it.number) }
            .toPersistentMap()

    private fun GatewayTables.told(digest: PeerDigest, now: Timestamp): GatewayTables =
        copy(
            peerNumber = digest.number,
            peerSentAt = peerSentAt.put(digest.number, now).remove(digest.number - REMEMBERED_DIGESTS),
            peersToldAt = now,
            peersTold = digest.used,
        )

    private fun GatewayTables.refilled(now: Timestamp): GatewayTables {
        val unresponsive = unresponsivePeers(now)
        return copy(buckets = buckets.mapValues { it.value.refill(now, unresponsive, gatewayCount) }.toPersistentMap())
    }

    private companion object {
        const val IDLE_FACTOR = 4
        const val REMEMBERED_DIGESTS = 32L

        /** Keeps a digest within one datagram. */
        const val MAX_HEARD = 24
        const val PEERS_AT_FULL_PACE = 12.0
    }
}
