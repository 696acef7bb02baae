package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/**
 * Sends the sidecar's state to all entries.
 *
 * A change is sent at most once per digest interval. It is sent at once after a new link opened or if the sidecar has
 * started or stopped accepting runs. An unchanged digest is sent once per heartbeat interval.
 */
class DigestSystem : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val digest = digestOf(step.tables)
        return if (isDue(step.tables, digest, tick.now)) send(step, digest, tick.now) else step
    }

    private fun digestOf(tables: SidecarTables): SidecarReport.Digest =
        SidecarReport.Digest(
            resident = tables.adapters.filterValues { it.state == AdapterState.RESIDENT }.keys.toPersistentSet(),
            queuedCount = tables.queue.size,
            runningCount = tables.runningCount,
            isAccepting = tables.isUpstreamReachable && !tables.isStopping,
        )

    private fun isDue(tables: SidecarTables, digest: SidecarReport.Digest, now: Timestamp): Boolean {
        val lastSent = tables.lastSentDigest
        val sinceLastSent = tables.digestSentAt?.let { now - it } ?: Duration.INFINITE
        return when {
            lastSent == null -> true
            digest.isAccepting != lastSent.isAccepting -> true
            digest != lastSent -> sinceLastSent >= tables.settings.digestInterval
            else -> sinceLastSent >= tables.settings.heartbeatInterval
        }
    }

    private fun send(step: SidecarStep, digest: SidecarReport.Digest, now: Timestamp): SidecarStep =
        step
            .update { it.copy(lastSentDigest = digest, digestSentAt = now) }
            .emitAll(step.tables.links.map { SidecarEffect.SendReport(it, digest) })
}
