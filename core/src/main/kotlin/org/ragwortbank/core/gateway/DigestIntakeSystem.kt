package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.storecopy.noteNamedConfig
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
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
            val silence = row.digestReceivedAt?.let { now - it } ?: Duration.ZERO
            val isNewer = row.digest?.let { digest.stamp.isNewerThan(it.stamp, silence) } ?: true
            if (isNewer) row.withDigest(digest, now) else row
        }

    private fun receive(tables: GatewayTables, digest: PeerDigest, from: Endpoint, now: Timestamp): GatewayTables {
        val prior = tables.peers[digest.sender] ?: PeerRow(digest.sender, from, isListed = false, addedAt = now)
        val silence = prior.digestReceivedAt?.let { now - it } ?: Duration.ZERO
        if (!digest.stamp.isNewerThan(prior.stamp, silence)) return tables
        val isSameProcess = digest.incarnation == prior.incarnation
        val isRestarted = !isSameProcess && prior.digestReceivedAt != null
        val row = prior.copy(
            incarnation = digest.incarnation,
            number = digest.number,
            digestReceivedAt = now,
            confirmedAgo = digest.confirmedMillisAgo.milliseconds,
        )
        val isComplete = isSameProcess && digest.number - prior.number <= PeerDigest.REPEATS
        return tables
            .copy(
                peers = tables.peers.put(row.name, row),
                buckets = tables.receiveTotals(digest, isComplete, isRestarted, now),
                needsFullPeerDigest = tables.needsFullPeerDigest || !isSameProcess,
            )
            .renewLeaseFrom(digest)
            .noteNamedConfig(digest.configVersion, now)
    }

    /**
     * The buckets after the totals of [digest].
     *
     * @param isComplete whether no change can be missing: a total that the digest doesn't name is unchanged then
     * @param isRestarted whether an earlier process of the sender is known, so that its total has grown from zero since
     */
    private fun GatewayTables.receiveTotals(
        digest: PeerDigest,
        isComplete: Boolean,
        isRestarted: Boolean,
        now: Timestamp,
    ): PersistentMap<AccountId, FleetBucket> {
        val countsFromZero = isRestarted || digest.incarnation > identity.incarnation - START_SPREAD_MILLIS
        return buckets.entries.fold(buckets) { updated, (account, bucket) ->
            val unchanged = bucket.peers[digest.sender]?.takeIf { isComplete }?.admittedTotal
            val total = digest.admittedTokens[account] ?: unchanged
            when (total) {
                null -> updated
                else -> updated.put(
                    account,
                    bucket.receiveTotal(digest.sender, digest.incarnation, total, countsFromZero, now),
                )
            }
        }
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
        val isSameConfig = isConfigNewest && !isConfigOutdated && digest.configVersion == version
        val isUsable = sentAt != null && isSameConfig && digest.confirmedMillisAgo >= 0
        val peerConfirmedAt = sentAt?.let { it - digest.confirmedMillisAgo.milliseconds }
        val isLater = peerConfirmedAt != null && (confirmedAt == null || peerConfirmedAt > confirmedAt)
        return if (isUsable && isLater) copy(confirmedAt = peerConfirmedAt) else this
    }

    private companion object {
        /** Gateways that start within this time of each other have likely restarted together, with nothing admitted. */
        const val START_SPREAD_MILLIS = 1_000L
    }
}
