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

/** Runs the fake fleet over a list of planned events. */
class FleetRun(
    private val settings: FleetSettings = FleetSettings(),
    schedule: Schedule<EntryTables, EntryInput, EntryEffect> = entrySchedule(),
) {
    private val systems = Schedule(
        persistentListOf(EventSystem(settings), PollSystem(settings), ProcessSystem(settings, schedule)),
    )

    /** The history of a run of [length] in which [events] happen; [account] is the first agreement. */
    fun run(account: Account, events: List<PlannedEvent>, length: Duration): FleetHistory {
        val empty = FleetTables(platform = FakePlatform(configuration = FleetFixtures.configuration(account)))
        val first = empty.record(FleetRecord.Agreed(empty.now, account))
        val planned = events.fold(first) { tables, event -> tables.plan(event.at, event.event) }
        val ticks = length.inWholeMilliseconds
        return generateSequence(planned, ::tick).elementAt(ticks.toInt()).history
    }

    private fun tick(tables: FleetTables): FleetTables {
        val millis = FleetTables.millisOf(tables.now)
        val due = tables.agenda[millis] ?: persistentListOf()
        val begun = tables.copy(agenda = tables.agenda.remove(millis))
        val step = systems.run(Tick(tables.now, due), begun)
        return step.tables.copy(now = tables.now + FleetTables.TICK)
    }
}

/** An event and the time from the beginning of the run at which it happens. */
data class PlannedEvent(val at: Duration, val event: FleetEvent)
