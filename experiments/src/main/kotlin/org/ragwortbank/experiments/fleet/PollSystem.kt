package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import kotlin.time.Duration

/** Schedules the periodic reads of the instance list, the limit epoch and the operators' tables for each process. */
class PollSystem(private val settings: FleetSettings) : TickSystem<FleetTables, FleetEvent, Nothing> {
    override fun run(tick: Tick<FleetEvent>, step: FleetStep): FleetStep =
        step.tables.processes.values
            .filterNot { it.isSuspended(tick.now) || tick.now < it.isolatedUntil }
            .fold(step) { currentStep, process -> currentStep.update { poll(it, process) } }

    private fun poll(tables: FleetTables, process: SimulatedProcess): FleetTables {
        val isListDue = isDue(tables, process, settings.listReadInterval)
        val tablesAfterListRead = if (isListDue) readList(tables, process) else tables
        val isStoreDue = isDue(tables, process, settings.storeReadInterval)
        return if (isStoreDue) readStore(tablesAfterListRead, process) else tablesAfterListRead
    }

    /** Offsets the reads of each process by a hash of its address, as real processes don't read simultaneously. */
    private fun isDue(tables: FleetTables, process: SimulatedProcess, interval: Duration): Boolean {
        val offsetMillis = process.address.hashCode().mod(interval.inWholeMilliseconds)
        return FleetTables.millisOf(tables.now).mod(interval.inWholeMilliseconds) == offsetMillis
    }

    private fun readList(tables: FleetTables, process: SimulatedProcess): FleetTables {
        if (tables.now < tables.platform.instanceListOutageUntil) return tables
        val instances: List<Instance> = tables.platform.listedInstances.values + FleetFixtures.upstream
        val input = EntryInput.InstancesRead(instances.toPersistentList(), tables.now)
        return tables.scheduleEvent(settings.platformLatency, FleetEvent.Deliver(process.address, input))
    }

    private fun readStore(tables: FleetTables, process: SimulatedProcess): FleetTables {
        if (!tables.platform.isStoreResponding(tables.now)) return tables
        val epochInput = EntryInput.EpochRead(tables.platform.epoch, tables.now)
        val configurationInput = EntryInput.ConfigurationRead(tables.platform.configuration)
        return tables
            .scheduleEvent(settings.platformLatency, FleetEvent.Deliver(process.address, epochInput))
            .scheduleEvent(settings.platformLatency, FleetEvent.Deliver(process.address, configurationInput))
    }
}
