package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
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
            is FleetEvent.Crash -> crash(tables, event.address)
            is FleetEvent.Freeze -> tables.update(event.address) { it.copy(frozenUntil = tables.now + event.duration) }
            is FleetEvent.Stop -> stop(tables, event.address)
            is FleetEvent.Cut -> cut(tables, event)
            is FleetEvent.Agree -> agree(tables, event.account)
            else -> tables.copy(platform = changed(tables.platform, event, tables.now))
        }

    private fun changed(platform: FakePlatform, event: FleetEvent, now: Timestamp): FakePlatform =
        when (event) {
            is FleetEvent.StoreDown -> platform.copy(storeDownUntil = now + event.duration)
            is FleetEvent.StoreLosesAnswers -> platform.copy(storeLosesUntil = now + event.duration)
            is FleetEvent.ListDown -> platform.copy(listDownUntil = now + event.duration)
            is FleetEvent.Listed -> platform.copy(listed = platform.listed.put(event.instance.name, event.instance))
            is FleetEvent.Unlisted -> platform.copy(listed = platform.listed.remove(event.name))
            else -> platform
        }

    private fun arrive(tables: FleetTables, event: FleetEvent.Arrive): FleetTables {
        val entries = tables.processes.values.filter { it.name in tables.platform.listed }.sortedBy { it.address }
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

    private fun crash(tables: FleetTables, address: String): FleetTables {
        val process = tables.processes[address] ?: return tables
        val others = tables.processes.remove(address)
        return others.keys.fold(tables.copy(processes = others)) { t, other -> lose(t, other, process.name) }
    }

    private fun stop(tables: FleetTables, address: String): FleetTables =
        tables.update(address) { it.copy(inbox = it.inbox.add(EntryInput.StopAsked)) }

    private fun cut(tables: FleetTables, event: FleetEvent.Cut): FleetTables {
        val partition = Partition(event.first, event.second, tables.now + event.duration)
        val parted = tables.copy(partitions = tables.partitions.filter { it.until > tables.now }
            .fold(persistentListOf<Partition>()) { list, known -> list.add(known) }.add(partition))
        val first = tables.processes[event.first]?.name
        val second = tables.processes[event.second]?.name
        return if (first == null || second == null) parted else lose(lose(parted, event.first, second), event.second, first)
    }

    private fun lose(tables: FleetTables, address: String, name: InstanceName): FleetTables =
        tables.plan(LINK_LOSS, FleetEvent.Deliver(address, EntryInput.LinkClosed(name)))

    private fun agree(tables: FleetTables, account: Account): FleetTables {
        val before = tables.platform.configuration
        val accounts = before.accounts.put(account.id, account)
        val next = before.copy(version = before.version + 1, accounts = accounts)
        return tables
            .record(FleetRecord.Agreed(tables.now, account))
            .copy(platform = tables.platform.copy(configuration = next))
    }

    private companion object {
        val LINK_LOSS = 200.milliseconds
    }
}
