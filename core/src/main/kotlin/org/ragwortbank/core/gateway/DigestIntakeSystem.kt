package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Takes over the digests of placers and of other entries; one that is older than what is known changes nothing. */
class DigestIntakeSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(step) { current, input ->
            when (input) {
                is GatewayInput.EngineDigestReceived -> current.update { hear(it, input.digest, tick.now) }
                is GatewayInput.PeerDigestReceived -> current.update { hear(it, input.digest, input.from, tick.now) }
                else -> current
            }
        }

    private fun hear(tables: GatewayTables, digest: EngineDigest, now: Timestamp): GatewayTables =
        tables.updateUpstream(digest.upstream) { row ->
            val known = row.digest
            val old = known != null && digest.incarnation == known.incarnation && digest.number <= known.number
            val older = known != null && digest.incarnation < known.incarnation
            if (old || older) row else row.withDigest(digest, now)
        }

    private fun hear(tables: GatewayTables, digest: PeerDigest, from: Endpoint, now: Timestamp): GatewayTables {
        val known = tables.peers[digest.sender] ?: PeerRow(digest.sender, from, listed = false, seenAt = now)
        val current = digest.incarnation == known.incarnation && digest.number > known.number
        if (!current && digest.incarnation <= known.incarnation) return tables
        val row = known.copy(incarnation = digest.incarnation, number = digest.number, heardAt = now)
        val counts = digest.incarnation > tables.identity.incarnation
        val buckets = digest.used.entries.fold(tables.buckets) { all, (account, total) ->
            val bucket = all[account]?.hear(digest.sender, digest.incarnation, total, counts)
            if (bucket == null) all else all.put(account, bucket)
        }
        return tables.copy(peers = tables.peers.put(row.name, row), buckets = buckets)
            .confirmedBy(digest)
    }

    /**
     * A peer that holds the same configuration confirms it as of the peer's own question to the store.
     *
     * How long the digest was on its way, or lay in a buffer while this process was paused, can't be told from it. But
     * it was made after the peer heard the digest of this entry that it names, so its age counts from the time at which
     * that was sent.
     */
    private fun GatewayTables.confirmedBy(digest: PeerDigest): GatewayTables {
        val own = config?.version ?: return this
        val heard = digest.heard[identity.name]?.takeIf { it.incarnation == identity.incarnation }
        val sentAt = heard?.let { peerSentAt[it.number] }
        val usable = sentAt != null && digest.configVersion == own && digest.confirmedMillisAgo >= 0
        val at = sentAt?.let { it - digest.confirmedMillisAgo.milliseconds }
        val newer = at != null && (confirmedAt == null || at > confirmedAt)
        return if (usable && newer) copy(confirmedAt = at) else this
    }
}
