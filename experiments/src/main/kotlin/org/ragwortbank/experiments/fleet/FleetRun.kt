package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.entry.EntryTables
import org.ragwortbank.core.entry.entrySchedule
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Tick
import kotlin.time.Duration

/** Runs the simulated fleet over a list of scheduled events. */
class FleetRun(
    private val settings: FleetSettings = FleetSettings(),
    schedule: Schedule<EntryTables, EntryInput, EntryEffect> = entrySchedule(),
) {
    private val systems = Schedule(
        persistentListOf(EventSystem(settings), PollSystem(settings), ProcessSystem(settings, schedule)),
    )

    /** The history of a run of [length] with [events]; [account] is the initial agreement. */
    fun run(account: Account, events: List<ScheduledEvent>, length: Duration): FleetHistory {
        val platform = SimulatedPlatform(configuration = FleetFixtures.configuration(account))
        val emptyTables = FleetTables(platform = platform)
        val initialTables = emptyTables.record(FleetRecord.Agreed(emptyTables.now, account))
        val scheduledTables = events.fold(initialTables) { tables, scheduled ->
            tables.scheduleEvent(scheduled.startOffset, scheduled.event)
        }
        val tickCount = length.inWholeMilliseconds
        return generateSequence(scheduledTables, ::runTick).elementAt(tickCount.toInt()).history
    }

    private fun runTick(tables: FleetTables): FleetTables {
        val millis = FleetTables.millisOf(tables.now)
        val dueEvents = tables.scheduledEvents[millis] ?: persistentListOf()
        val tablesWithoutDueEvents = tables.copy(scheduledEvents = tables.scheduledEvents.remove(millis))
        val step = systems.run(Tick(tables.now, dueEvents), tablesWithoutDueEvents)
        return step.tables.copy(now = tables.now + FleetTables.TICK_LENGTH)
    }
}

/** An event and the time from the beginning of the run at which it happens. */
data class ScheduledEvent(val startOffset: Duration, val event: FleetEvent)
