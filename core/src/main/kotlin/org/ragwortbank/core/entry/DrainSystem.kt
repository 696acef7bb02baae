package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Stops the process gracefully: takes requests for a grace time, ends them all, hands its buckets over. */
class DrainSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val asked = tick.inputs.any { it is EntryInput.StopRequested } && !step.tables.stopping
        val begun = if (asked) begin(step, tick.now) else step
        return if (isOver(begun.tables, tick.now)) begun.emit(EntryEffect.Stopped) else begun
    }

    private fun begin(step: EntryStep, now: Timestamp): EntryStep =
        step
            .log(LogPart.DRAIN, "stop asked for with ${step.tables.requests.size} requests")
            .update { it.copy(stoppingSince = now) }
            .emit(EntryEffect.ReadEpoch)

    private fun isOver(tables: EntryTables, now: Timestamp): Boolean {
        val since = tables.stoppingSince ?: return false
        val age = now - since
        val settings = tables.settings
        val left = tables.isOutsideEpoch() || age > settings.drainGrace + settings.handoverTimeout
        return when {
            age > settings.drainTimeout -> true
            else -> age > settings.drainGrace && tables.requests.isEmpty() && left
        }
    }

    private fun EntryTables.isOutsideEpoch(): Boolean {
        val epoch = membership.epoch ?: return true
        return identity.member !in epoch.members && identity.member !in epoch.retired
    }
}
