package org.ragwortbank.core.storecopy

import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.removeUpstream
import org.ragwortbank.core.gateway.unlistPeer
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.seconds

/** Removes what an older copy of the store lacked and what nobody has written there again. */
class StoreCopySystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val copy = step.tables.storeCopy ?: return step
        val isComplete = step.tables.isReadAfter(copy.readAt + REWRITE_TIME)
        val removed = if (isComplete) removeMissing(step, copy, tick.now) else step
        return if (tick.now - copy.readAt >= EXPIRY_TIME) removed.update(::forget) else removed
    }

    /** What was written meanwhile is known only by a read that was requested after it. */
    private fun GatewayTables.isReadAfter(time: Timestamp): Boolean =
        streamVersions.storeReadAt?.let { it >= time } ?: false

    private fun removeMissing(step: GatewayStep, copy: StoreCopyRow, now: Timestamp): GatewayStep {
        val withoutUpstreams = copy.missingUpstreams.fold(step) { current, id -> current.removeUpstream(id, now) }
        return copy.missingPeers
            .fold(withoutUpstreams) { current, name -> current.update { it.unlistPeer(name) } }
            .update { it.copy(storeCopy = StoreCopyRow(copy.readAt)) }
    }

    private fun forget(tables: GatewayTables): GatewayTables =
        tables.upstreams.values
            .filter { it.isGone }
            .fold(tables.copy(storeCopy = null)) { current, row ->
                current.updateUpstream(row.registration.id) { it.copy(isGone = false) }
            }

    private companion object {
        /** Upstreams that live are listed again within about this time; what is missing then has gone. */
        val REWRITE_TIME = 2.seconds

        /** The store has dropped the entries of upstreams that no longer write by then. */
        val EXPIRY_TIME = 15.seconds
    }
}
