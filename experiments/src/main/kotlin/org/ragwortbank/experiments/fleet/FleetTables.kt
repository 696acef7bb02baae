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
 * @property lostHostAddresses addresses on hosts that are lost, so that nothing answers there
 * @property scheduledEvents events to come, by the millisecond at which they happen
 */
data class FleetTables(
    val now: Timestamp = Timestamp(0),
    val platform: SimulatedPlatform,
    val processes: PersistentMap<String, SimulatedProcess> = persistentMapOf(),
    val lostHostAddresses: PersistentSet<String> = persistentSetOf(),
    val partitions: PersistentList<Partition> = persistentListOf(),
    val scheduledEvents: PersistentMap<Long, PersistentList<FleetEvent>> = persistentMapOf(),
    val history: FleetHistory = FleetHistory(),
) {
    /** The tables with [event] to come after [delay]. */
    fun scheduleEvent(delay: Duration, event: FleetEvent): FleetTables {
        val millisecond = millisOf(now + delay)
        val events = (scheduledEvents[millisecond] ?: persistentListOf()).add(event)
        return copy(scheduledEvents = scheduledEvents.put(millisecond, events))
    }

    /** The tables with [record] added to the history. */
    fun record(record: FleetRecord): FleetTables = copy(history = history.add(record))

    /** The tables with the process at [address] changed, if it runs. */
    fun updateProcess(address: String, change: (SimulatedProcess) -> SimulatedProcess): FleetTables {
        val process = processes[address] ?: return this
        return copy(processes = processes.put(address, change(process)))
    }

    /** The tables after the operators changed an agreement; nothing is accepted while the service is silent. */
    fun changeAgreement(account: Account): FleetTables {
        if (!platform.isStoreResponding(now)) return this
        val previous = platform.configuration
        val accounts = previous.accounts.put(account.id, account)
        val changed = previous.copy(version = previous.version + 1, accounts = accounts)
        return record(FleetRecord.Agreed(now, account)).copy(platform = platform.copy(configuration = changed))
    }

    companion object {
        /** Length of a tick. */
        val TICK_LENGTH: Duration = 1.milliseconds

        /** The millisecond of [time]. */
        fun millisOf(time: Timestamp): Long = (time - Timestamp(0)).inWholeMilliseconds
    }
}
