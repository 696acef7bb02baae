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

/** Runs the real systems of each process that has inputs or is due for its sweep, and performs their effects. */
class ProcessSystem(
    settings: FleetSettings,
    private val schedule: Schedule<EntryTables, EntryInput, EntryEffect>,
) : TickSystem<FleetTables, FleetEvent, Nothing> {
    private val effects = FleetEffects(settings)

    override fun run(tick: Tick<FleetEvent>, step: FleetStep): FleetStep =
        step.tables.processes.keys.fold(step) { s, address -> s.update { runProcess(it, address) } }

    private fun runProcess(tables: FleetTables, address: String): FleetTables {
        val process = tables.processes[address]
        return when {
            process == null -> tables
            process.isFrozen(tables.now) -> freeze(tables, process)
            process.held.isNotEmpty() -> thaw(tables, process)
            isDue(process, tables.now) -> tick(tables, process)
            else -> tables
        }
    }

    private fun isDue(process: FakeProcess, now: Timestamp): Boolean {
        val swept = process.tables.sweptAt
        return process.inbox.isNotEmpty() || swept == null || now - swept >= WAKE_INTERVAL
    }

    /** The last tick before the freeze is decided, but its effects wait until the process goes on. */
    private fun freeze(tables: FleetTables, process: FakeProcess): FleetTables {
        if (process.held.isNotEmpty() || process.inbox.isEmpty()) return tables
        val decided = schedule.run(Tick(tables.now, process.inbox), process.tables)
        val frozen = process.copy(tables = decided.tables, inbox = persistentListOf(), held = decided.effects)
        return tables.copy(processes = tables.processes.put(process.address, frozen))
    }

    private fun thaw(tables: FleetTables, process: FakeProcess): FleetTables {
        val awake = process.copy(held = persistentListOf(), frozenUntil = null)
        val resumed = tables.copy(processes = tables.processes.put(process.address, awake))
        return process.held.fold(resumed) { t, effect -> effects.performLate(t, awake, effect) }
    }

    private fun tick(tables: FleetTables, process: FakeProcess): FleetTables {
        val step = schedule.run(Tick(tables.now, process.inbox), process.tables)
        val ticked = process.copy(tables = step.tables, inbox = persistentListOf())
        val after = tables.copy(processes = tables.processes.put(process.address, ticked))
        return step.effects.fold(after) { t, effect -> effects.perform(t, ticked, effect) }
    }

    private companion object {
        val WAKE_INTERVAL = 50.milliseconds
    }
}
