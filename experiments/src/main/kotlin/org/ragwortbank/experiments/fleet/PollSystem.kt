package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import kotlin.time.Duration

/** Has each process read the instance list, the limit epoch and the operators' tables at their intervals. */
class PollSystem(private val settings: FleetSettings) : TickSystem<FleetTables, FleetEvent, Nothing> {
    override fun run(tick: Tick<FleetEvent>, step: FleetStep): FleetStep =
        step.tables.processes.values
            .filterNot { it.isFrozen(tick.now) || tick.now < it.isolatedUntil }
            .fold(step) { s, process -> s.update { poll(it, process) } }

    private fun poll(tables: FleetTables, process: FakeProcess): FleetTables {
        val listRead = if (isDue(tables, process, settings.listInterval)) readList(tables, process) else tables
        return if (isDue(tables, process, settings.storeInterval)) readStore(listRead, process) else listRead
    }

    /** Processes read at different times, as real ones do. */
    private fun isDue(tables: FleetTables, process: FakeProcess, interval: Duration): Boolean {
        val phase = process.address.hashCode().mod(interval.inWholeMilliseconds)
        return FleetTables.millisOf(tables.now).mod(interval.inWholeMilliseconds) == phase
    }

    private fun readList(tables: FleetTables, process: FakeProcess): FleetTables {
        if (tables.now < tables.platform.listDownUntil) return tables
        val instances: List<Instance> = tables.platform.listed.values + FleetFixtures.upstream
        val read = EntryInput.InstancesRead(instances.toPersistentList(), tables.now)
        return tables.plan(settings.storeLatency, FleetEvent.Deliver(process.address, read))
    }

    private fun readStore(tables: FleetTables, process: FakeProcess): FleetTables {
        if (!tables.platform.storeAnswers(tables.now)) return tables
        val epoch = EntryInput.EpochRead(tables.platform.epoch, tables.now)
        val configuration = EntryInput.ConfigurationRead(tables.platform.configuration)
        return tables
            .plan(settings.storeLatency, FleetEvent.Deliver(process.address, epoch))
            .plan(settings.storeLatency, FleetEvent.Deliver(process.address, configuration))
    }
}
