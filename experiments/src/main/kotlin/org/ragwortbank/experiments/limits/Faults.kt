package org.ragwortbank.experiments.limits

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.experiments.fleet.FleetEvent
import org.ragwortbank.experiments.fleet.PlannedEvent
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The kinds of faults, with victims and lengths by [random]. */
internal class Faults(private val scenario: LimitScenario, private val random: Random) {
    /** All kinds; each makes the events of one fault from its number and its time. */
    val kinds: List<(Int, Duration) -> List<PlannedEvent>> = listOf(
        { number, at -> replacedCrash(number, at, hostLost = random.nextBoolean()) },
        { _, at -> listOf(PlannedEvent(at, FleetEvent.Freeze(victim(), span()))) },
        ::frozenAndReplaced,
        ::isolatedAndReplaced,
        { _, at -> listOf(PlannedEvent(at, FleetEvent.Cut(victim(), victim(), span()))) },
        { _, at -> listOf(PlannedEvent(at, FleetEvent.StoreDown(span() * 2))) },
        { _, at -> listOf(PlannedEvent(at, FleetEvent.StoreLosesAnswers(span()))) },
        { _, at -> listOf(PlannedEvent(at, FleetEvent.ListDown(span()))) },
        { _, at -> wronglyUnlisted(at) },
        { _, at -> listOf(PlannedEvent(at, FleetEvent.Agree(agreement()))) },
        ::plannedStop,
        { number, at -> LimitScenario.startOf(InstanceName("extra-$number"), "extra-$number:1", at) },
    )

    /** An entry ends without notice and another process starts under its name. */
    fun replacedCrash(number: Int, at: Duration, hostLost: Boolean): List<PlannedEvent> {
        val name = victimName()
        return listOf(
            PlannedEvent(at, FleetEvent.Crash(name, hostLost)),
            PlannedEvent(at + lag(), FleetEvent.Unlisted(name)),
        ) + LimitScenario.startOf(name, "$name:r$number", at + lag() + RESTART)
    }

    /** The platform takes a frozen process for dead and starts another one; the first one goes on later. */
    private fun frozenAndReplaced(number: Int, at: Duration): List<PlannedEvent> {
        val name = victimName()
        return listOf(
            PlannedEvent(at, FleetEvent.Freeze("$name:1", span())),
            PlannedEvent(at + lag(), FleetEvent.Unlisted(name)),
        ) + LimitScenario.startOf(name, "$name:f$number", at + lag() + RESTART)
    }

    /** The platform loses a process that goes on running, and starts another one under its name. */
    private fun isolatedAndReplaced(number: Int, at: Duration): List<PlannedEvent> {
        val name = victimName()
        return listOf(
            PlannedEvent(at, FleetEvent.Isolate("$name:1", span() * 2)),
            PlannedEvent(at + lag(), FleetEvent.Unlisted(name)),
        ) + LimitScenario.startOf(name, "$name:i$number", at + lag() + RESTART)
    }

    private fun wronglyUnlisted(at: Duration): List<PlannedEvent> {
        val name = victimName()
        return listOf(
            PlannedEvent(at, FleetEvent.Unlisted(name)),
            PlannedEvent(at + span(), FleetEvent.Listed(FleetNames.entry(name, "$name:1"))),
        )
    }

    private fun plannedStop(number: Int, at: Duration): List<PlannedEvent> {
        val start = LimitScenario.startOf(InstanceName("new-$number"), "new-$number:1", at)
        return start + PlannedEvent(at + RESTART, FleetEvent.Stop(victim()))
    }

    private fun agreement(): Account {
        val account = scenario.account
        val percent = random.nextLong(MIN_PERCENT, MAX_PERCENT)
        return account.copy(rate = account.rate * percent / HUNDRED, burst = account.burst * percent / HUNDRED)
    }

    private fun victimName(): InstanceName = InstanceName("entry-${random.nextInt(scenario.entries) + 1}")

    private fun victim(): String = "${victimName()}:1"

    private fun span(): Duration = random.nextInt(MAX_SPAN_MILLIS).milliseconds

    private fun lag(): Duration = random.nextInt(MAX_LAG_MILLIS).milliseconds

    private companion object {
        const val MIN_PERCENT = 50L
        const val MAX_PERCENT = 150L
        const val HUNDRED = 100L
        const val MAX_SPAN_MILLIS = 12_000
        const val MAX_LAG_MILLIS = 2_000
        val RESTART = 2.seconds
    }
}
