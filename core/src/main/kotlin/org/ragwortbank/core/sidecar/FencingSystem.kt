package org.ragwortbank.core.sidecar

import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Stores the fencing token that load and unload commands to the engine carry.
 *
 * Without a token no command is sent. Runs on resident adapters start as usual; a run that needs a load is refused as
 * not run after the fencing timeout, so that its entry can dispatch it to another upstream.
 */
class FencingSystem : TickSystem<SidecarTables, SidecarInput, SidecarEffect> {
    override fun run(tick: Tick<SidecarInput>, step: SidecarStep): SidecarStep {
        val received = tick.inputs.filterIsInstance<SidecarInput.FencingTokenReceived>().lastOrNull()
        val updated = if (received == null) step else step.update { it.copy(fencingToken = received.fencingToken) }
        return if (updated.tables.fencingToken == null) refuseRunsNeedingLoad(updated, tick.now) else updated
    }

    private fun refuseRunsNeedingLoad(step: SidecarStep, now: Timestamp): SidecarStep =
        step.tables.queue
            .mapNotNull { step.tables.runs[it] }
            .filter { !step.tables.isServable(it.command.adapter) }
            .filter { now - it.receivedAt > step.tables.settings.fencingTimeout }
            .fold(step) { current, run -> current.refuseQueued(run.command.run, ResultCode.NO_FENCING) }
}
