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

/** A step of the simulated fleet; its systems change tables and emit no effects. */
typealias FleetStep = Step<FleetTables, Nothing>

/**
 * The state of a fleet of entries in virtual time.
 *
 * @property lostHostAddresses addresses on failed hosts, which neither accept nor refuse connections
 * @property scheduledEvents future events by the millisecond at which they happen
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
    /** The tables with [event] scheduled [delay] from now. */
    fun scheduleEvent(delay: Duration, event: FleetEvent): FleetTables {
        val millisecond = millisOf(now + delay)
        val events = (scheduledEvents[millisecond] ?: persistentListOf()).add(event)
        return copy(scheduledEvents = scheduledEvents.put(millisecond, events))
    }

    /** The tables with [record] added to the history. */
    fun record(record: FleetRecord): FleetTables = copy(history = history.add(record))

    /** The tables with [change] applied to the process at [address], if it runs. */
    fun updateProcess(address: String, change: (SimulatedProcess) -> SimulatedProcess): FleetTables {
        val process = processes[address] ?: return this
        return copy(processes = processes.put(address, change(process)))
    }

    /** The tables with the agreement of [account]; unchanged while the key-value service does not respond. */
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

        /** Milliseconds from the beginning of the run to [time]. */
        fun millisOf(time: Timestamp): Long = (time - Timestamp(0)).inWholeMilliseconds
    }
}
