package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Applies the digests of placers and of other gateways; duplicates and outdated digests change nothing. */
class DigestIntakeSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(step) { current, input ->
            when (input) {
                is GatewayInput.EngineDigestReceived -> current.update { receive(it, input.digest, tick.now) }
                is GatewayInput.PeerDigestReceived -> current.update { receive(it, input.digest, input.from, tick.now) }
                else -> current
            }
        }

    private fun receive(tables: GatewayTables, digest: EngineDigest, now: Timestamp): GatewayTables =
        tables.updateUpstream(digest.upstream) { row ->
            val prior = row.digest
            val isDuplicate = prior != null && digest.incarnation == prior.incarnation && digest.number <= prior.number
            val isOutdated = prior != null && digest.incarnation < prior.incarnation
            if (isDuplicate || isOutdated) row else row.withDigest(digest, now)
        }

    private fun receive(tables: GatewayTables, digest: PeerDigest, from: Endpoint, now: Timestamp): GatewayTables {
        val prior = tables.peers[digest.sender] ?: PeerRow(digest.sender, from, isListed = false, addedAt = now)
        val isNextOfSender = digest.incarnation == prior.incarnation && digest.number > prior.number
        if (!isNextOfSender && digest.incarnation <= prior.incarnation) return tables
        val row = prior.copy(incarnation = digest.incarnation, number = digest.number, digestReceivedAt = now)
        val countsFromZero = digest.incarnation > tables.identity.incarnation
        val buckets = digest.admittedTokens.entries.fold(tables.buckets) { updated, (account, total) ->
            val bucket = updated[account]?.receiveTotal(digest.sender, digest.incarnation, total, countsFromZero)
            if (bucket == null) updated else updated.put(account, bucket)
        }
        return tables.copy(peers = tables.peers.put(row.name, row), buckets = buckets)
            .renewLeaseFrom(digest)
    }

    /**
     * Extends the configuration lease by the confirmation of a peer that has the same configuration.
     *
     * A digest doesn't show how long it was in transit, or in a receive buffer while this process was suspended. But
     * the peer made it after it received the digest of this gateway that it names, so the age of its confirmation
     * counts from the time at which that digest was sent.
     */
    private fun GatewayTables.renewLeaseFrom(digest: PeerDigest): GatewayTables {
        val version = config?.version ?: return this
        val echoedStamp = digest.lastReceived[identity.name]?.takeIf { it.incarnation == identity.incarnation }
        val sentAt = echoedStamp?.let { peerDigestSendTimes[it.number] }
        val isUsable = sentAt != null && digest.configVersion == version && digest.confirmedMillisAgo >= 0
        val peerConfirmedAt = sentAt?.let { it - digest.confirmedMillisAgo.milliseconds }
        val isLater = peerConfirmedAt != null && (confirmedAt == null || peerConfirmedAt > confirmedAt)
        return if (isUsable && isLater) copy(confirmedAt = peerConfirmedAt) else this
    }
}
