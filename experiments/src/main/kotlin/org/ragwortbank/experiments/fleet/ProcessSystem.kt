package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.entry.EntryTables
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Runs the entry systems of each process that has inputs or is due for its sweep, and performs their effects. */
class ProcessSystem(
    settings: FleetSettings,
    private val schedule: Schedule<EntryTables, EntryInput, EntryEffect>,
) : TickSystem<FleetTables, FleetEvent, Nothing> {
    private val effects = FleetEffects(settings)

    override fun run(tick: Tick<FleetEvent>, step: FleetStep): FleetStep =
        step.tables.processes.keys.fold(step) { currentStep, address -> currentStep.update { runProcess(it, address) } }

    private fun runProcess(tables: FleetTables, address: String): FleetTables {
        val process = tables.processes[address]
        return when {
            process == null -> tables
            process.isSuspended(tables.now) -> suspendProcess(tables, process)
            process.deferredEffects.isNotEmpty() -> resumeProcess(tables, process)
            isDue(process, tables.now) -> runTick(tables, process)
            else -> tables
        }
    }

    private fun isDue(process: SimulatedProcess, now: Timestamp): Boolean {
        val sweptAt = process.tables.sweptAt
        return process.inbox.isNotEmpty() || sweptAt == null || now - sweptAt >= SWEEP_INTERVAL
    }

    /** Runs the last tick before the suspension and defers its effects until the process resumes. */
    private fun suspendProcess(tables: FleetTables, process: SimulatedProcess): FleetTables {
        if (process.deferredEffects.isNotEmpty() || process.inbox.isEmpty()) return tables
        val lastStep = schedule.run(Tick(tables.now, process.inbox), process.tables)
        val suspended =
            process.copy(tables = lastStep.tables, inbox = persistentListOf(), deferredEffects = lastStep.effects)
        return tables.copy(processes = tables.processes.put(process.address, suspended))
    }

    private fun resumeProcess(tables: FleetTables, process: SimulatedProcess): FleetTables {
        val resumed = process.copy(deferredEffects = persistentListOf(), suspendedUntil = null)
        val resumedTables = tables.copy(processes = tables.processes.put(process.address, resumed))
        return process.deferredEffects.fold(resumedTables) { current, effect ->
            effects.performAfterSuspension(current, resumed, effect)
        }
    }

    private fun runTick(tables: FleetTables, process: SimulatedProcess): FleetTables {
        val step = schedule.run(Tick(tables.now, process.inbox), process.tables)
        val changedProcess = process.copy(tables = step.tables, inbox = persistentListOf())
        val changedTables = tables.copy(processes = tables.processes.put(process.address, changedProcess))
        return step.effects.fold(changedTables) { current, effect -> effects.perform(current, changedProcess, effect) }
    }

    private companion object {
        val SWEEP_INTERVAL = 50.milliseconds
    }
}
