package org.ragwortbank.core.sidecar

import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Keeps the number that orders to the engine carry.
 *
 * Without a number no order is given: what is resident is served, the rest may be served elsewhere.
 */
class FencingSystem : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val given = tick.inputs.filterIsInstance<SidecarInput.FencingGiven>().lastOrNull()
        val known = if (given == null) step else step.update { it.copy(fencing = given.number) }
        return if (known.tables.fencing == null) refuseUnplaced(known, tick.now) else known
    }

    private fun refuseUnplaced(step: SidecarStep, now: Timestamp): SidecarStep =
        step.tables.queue
            .mapNotNull { step.tables.runs[it] }
            .filter { !step.tables.isServable(it.command.adapter) }
            .filter { now - it.arrivedAt > step.tables.settings.fencingTimeout }
            .fold(step) { s, run -> s.refuseQueued(run.command.run, ResultCode.NO_FENCING) }
}
