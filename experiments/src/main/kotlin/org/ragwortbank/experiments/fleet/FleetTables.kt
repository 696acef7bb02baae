package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Step
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A step of the fake fleet; its systems have no effects besides their tables. */
typealias FleetStep = Step<FleetTables, Nothing>

/**
 * A fleet of entries in virtual time, as one immutable value.
 *
 * @property lostHosts addresses on hosts that are lost, so that nothing answers there
 * @property agenda events to come, by the millisecond at which they happen
 */
data class FleetTables(
    val now: Timestamp = Timestamp(0),
    val platform: FakePlatform,
    val processes: PersistentMap<String, FakeProcess> = persistentMapOf(),
    val lostHosts: PersistentSet<String> = persistentSetOf(),
    val partitions: PersistentList<Partition> = persistentListOf(),
    val agenda: PersistentMap<Long, PersistentList<FleetEvent>> = persistentMapOf(),
    val history: FleetHistory = FleetHistory(),
) {
    /** The tables with [event] to come after [delay]. */
    fun plan(delay: Duration, event: FleetEvent): FleetTables {
        val at = millisOf(now + delay)
        return copy(agenda = agenda.put(at, (agenda[at] ?: persistentListOf()).add(event)))
    }

    /** The tables with [record] added to the history. */
    fun record(record: FleetRecord): FleetTables = copy(history = history.add(record))

    /** The tables with the process at [address] changed, if it runs. */
    fun update(address: String, change: (FakeProcess) -> FakeProcess): FleetTables {
        val process = processes[address] ?: return this
        return copy(processes = processes.put(address, change(process)))
    }

    /** The tables after the operators changed an agreement; nothing is accepted while the service is silent. */
    fun agree(account: Account): FleetTables {
        if (!platform.storeAnswers(now)) return this
        val before = platform.configuration
        val accounts = before.accounts.put(account.id, account)
        val next = before.copy(version = before.version + 1, accounts = accounts)
        return record(FleetRecord.Agreed(now, account)).copy(platform = platform.copy(configuration = next))
    }

    companion object {
        /** Length of a tick. */
        val TICK: Duration = 1.milliseconds

        /** The millisecond of [time]. */
        fun millisOf(time: Timestamp): Long = (time - Timestamp(0)).inWholeMilliseconds
    }
}
