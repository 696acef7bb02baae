package org.ragwortbank.experiments.fleet

import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Makes the events of a tick happen. */
class EventSystem(private val settings: FleetSettings) : TickSystem<FleetTables, FleetEvent, Nothing> {
    override fun run(tick: Tick<FleetEvent>, step: FleetStep): FleetStep =
        tick.inputs.fold(step) { s, event -> s.update { handle(it, event) } }

    private fun handle(tables: FleetTables, event: FleetEvent): FleetTables =
        when (event) {
            is FleetEvent.Deliver -> tables.update(event.address) { it.copy(inbox = it.inbox.add(event.input)) }
            is FleetEvent.Arrive -> arrive(tables, event)
            is FleetEvent.Start -> start(tables, event)
            is FleetEvent.Crash -> crash(tables, event)
            is FleetEvent.Exit -> exit(tables, event.address)
            is FleetEvent.Freeze -> tables.update(event.address) { it.copy(frozenUntil = tables.now + event.duration) }
            is FleetEvent.Isolate -> isolate(tables, event)
            is FleetEvent.Stop ->
                tables.update(event.address) { it.copy(inbox = it.inbox.add(EntryInput.StopRequested)) }
            is FleetEvent.Cut -> cut(tables, event)
            is FleetEvent.Agree -> tables.agree(event.account)
            is FleetEvent.StoreDown -> silence(tables, event, event.duration)
            is FleetEvent.StoreLosesAnswers -> silence(tables, event, event.duration)
            else -> tables.copy(platform = tables.platform.after(event, tables.now))
        }

    private fun isolate(tables: FleetTables, event: FleetEvent.Isolate): FleetTables =
        tables.update(event.address) { it.copy(isolatedUntil = tables.now + event.duration) }

    private fun silence(tables: FleetTables, event: FleetEvent, duration: Duration): FleetTables =
        tables
            .copy(platform = tables.platform.after(event, tables.now))
            .record(FleetRecord.StoreSilent(tables.now, tables.now + duration))

    private fun arrive(tables: FleetTables, event: FleetEvent.Arrive): FleetTables {
        val entries = tables.processes.values.sortedBy { it.address }
        if (entries.isEmpty()) return tables
        val chosen = entries[(event.pick * entries.size).toInt().coerceAtMost(entries.size - 1)]
        val call = FleetFixtures.call(chosen, event.tokens)
        return tables
            .record(FleetRecord.Offered(tables.now, event.tokens))
            .update(chosen.address) {
                it.copy(inbox = it.inbox.add(EntryInput.CallArrived(call)), requests = it.requests + 1)
            }
    }

    private fun start(tables: FleetTables, event: FleetEvent.Start): FleetTables {
        val process = FleetFixtures.process(event.name, event.address, settings.entry)
        val inputs = FleetFixtures.firstInputs(tables.platform.configuration, tables.now)
        return tables.copy(processes = tables.processes.put(event.address, process.copy(inbox = inputs)))
    }

    private fun crash(tables: FleetTables, event: FleetEvent.Crash): FleetTables {
        val addresses = tables.processes.values.filter { it.name == event.name }.map { it.address }
        val lost = if (event.hostLost) tables.lostHosts.addAll(addresses) else tables.lostHosts
        return addresses.fold(tables.copy(lostHosts = lost)) { t, address -> exit(t, address) }
    }

    private fun exit(tables: FleetTables, address: String): FleetTables {
        val process = tables.processes[address] ?: return tables
        val others = tables.processes.remove(address)
        return others.keys.fold(tables.copy(processes = others)) { t, other -> lose(t, other, process.name) }
    }

    private fun cut(tables: FleetTables, event: FleetEvent.Cut): FleetTables {
        val partition = Partition(event.first, event.second, tables.now + event.duration)
        val parted = tables.copy(partitions = tables.partitions.removeAll { it.until <= tables.now }.add(partition))
        val first = tables.processes[event.first]
        val second = tables.processes[event.second]
        return when {
            first == null || second == null -> parted
            else -> lose(lose(parted, event.first, second.name), event.second, first.name)
        }
    }

    private fun lose(tables: FleetTables, address: String, name: InstanceName): FleetTables =
        tables.plan(LINK_LOSS, FleetEvent.Deliver(address, EntryInput.LinkClosed(name)))

    private companion object {
        val LINK_LOSS = 200.milliseconds
    }
}
