package org.ragwortbank.experiments.fleet

import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Applies the events of a tick to the fleet. */
class EventSystem(private val settings: FleetSettings) : TickSystem<FleetTables, FleetEvent, Nothing> {
    override fun run(tick: Tick<FleetEvent>, step: FleetStep): FleetStep =
        tick.inputs.fold(step) { currentStep, event -> currentStep.update { handle(it, event) } }

    private fun handle(tables: FleetTables, event: FleetEvent): FleetTables =
        when (event) {
            is FleetEvent.Deliver -> tables.updateProcess(event.address) { it.copy(inbox = it.inbox.add(event.input)) }
            is FleetEvent.SendRequest -> sendRequest(tables, event)
            is FleetEvent.Start -> start(tables, event)
            is FleetEvent.Crash -> crash(tables, event)
            is FleetEvent.Exit -> exit(tables, event.address)
            is FleetEvent.Suspend ->
                tables.updateProcess(event.address) { it.copy(suspendedUntil = tables.now + event.duration) }
            is FleetEvent.Isolate -> isolate(tables, event)
            is FleetEvent.RequestStop ->
                tables.updateProcess(event.address) { it.copy(inbox = it.inbox.add(EntryInput.StopRequested())) }
            is FleetEvent.PartitionPair -> partition(tables, event)
            is FleetEvent.ChangeAgreement -> tables.changeAgreement(event.account)
            is FleetEvent.StoreOutage -> interruptStore(tables, event, event.duration)
            is FleetEvent.StoreResponseLoss -> interruptStore(tables, event, event.duration)
            else -> tables.copy(platform = tables.platform.withEvent(event, tables.now))
        }

    private fun isolate(tables: FleetTables, event: FleetEvent.Isolate): FleetTables =
        tables.updateProcess(event.address) { it.copy(isolatedUntil = tables.now + event.duration) }

    private fun interruptStore(tables: FleetTables, event: FleetEvent, duration: Duration): FleetTables =
        tables
            .copy(platform = tables.platform.withEvent(event, tables.now))
            .record(FleetRecord.StoreSilent(tables.now, tables.now + duration))

    private fun sendRequest(tables: FleetTables, event: FleetEvent.SendRequest): FleetTables {
        val entries = tables.processes.values.sortedBy { it.address }
        if (entries.isEmpty()) return tables
        val target = entries[(event.balancerPosition * entries.size).toInt().coerceAtMost(entries.size - 1)]
        val call = FleetFixtures.call(target, event.tokens)
        return tables
            .record(FleetRecord.Offered(tables.now, event.tokens))
            .updateProcess(target.address) {
                it.copy(inbox = it.inbox.add(EntryInput.CallArrived(call)), requestCount = it.requestCount + 1)
            }
    }

    private fun start(tables: FleetTables, event: FleetEvent.Start): FleetTables {
        val process = FleetFixtures.newProcess(event.name, event.address, settings.entrySettings)
        val startupInputs = FleetFixtures.startupInputs(tables.platform.configuration, tables.now)
        return tables.copy(processes = tables.processes.put(event.address, process.copy(inbox = startupInputs)))
    }

    private fun crash(tables: FleetTables, event: FleetEvent.Crash): FleetTables {
        val addresses = tables.processes.values.filter { it.name == event.name }.map { it.address }
        val lostAddresses =
            if (event.isHostLost) tables.lostHostAddresses.addAll(addresses) else tables.lostHostAddresses
        val changedTables = tables.copy(lostHostAddresses = lostAddresses)
        return addresses.fold(changedTables) { current, address -> exit(current, address) }
    }

    private fun exit(tables: FleetTables, address: String): FleetTables {
        val process = tables.processes[address] ?: return tables
        val otherProcesses = tables.processes.remove(address)
        return otherProcesses.keys.fold(tables.copy(processes = otherProcesses)) { current, otherAddress ->
            closeLink(current, otherAddress, process.name)
        }
    }

    private fun partition(tables: FleetTables, event: FleetEvent.PartitionPair): FleetTables {
        val partition = Partition(event.first, event.second, tables.now + event.duration)
        val partitions = tables.partitions.removeAll { it.until <= tables.now }.add(partition)
        val partitionedTables = tables.copy(partitions = partitions)
        val first = tables.processes[event.first]
        val second = tables.processes[event.second]
        return when {
            first == null || second == null -> partitionedTables
            else -> closeLink(closeLink(partitionedTables, event.first, second.name), event.second, first.name)
        }
    }

    private fun closeLink(tables: FleetTables, address: String, name: InstanceName): FleetTables =
        tables.scheduleEvent(LINK_CLOSE_DELAY, FleetEvent.Deliver(address, EntryInput.LinkClosed(name)))

    private companion object {
        val LINK_CLOSE_DELAY = 200.milliseconds
    }
}
