package org.ragwortbank.experiments.limits

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.experiments.fleet.FleetEvent
import org.ragwortbank.experiments.fleet.PlannedEvent
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults in random order, several of which may overlap. */
class FaultPlan(private val scenario: LimitScenario, private val random: Random) {
    /** The events of [count] faults. */
    fun faults(count: Int): List<PlannedEvent> = (1..count).flatMap { number ->
        val at = LimitScenario.WARM_UP + random.nextInt(scenario.length.inWholeMilliseconds.toInt()).milliseconds
        fault(number, at)
    }

    /** One entry crashes each minute and is replaced. */
    fun crashEachMinute(): List<PlannedEvent> {
        val minutes = (scenario.length / MINUTE).toInt()
        return (0 until minutes).flatMap { minute -> replacedCrash(minute, MINUTE * minute + MINUTE / 2) }
    }

    private fun fault(number: Int, at: Duration): List<PlannedEvent> =
        when (random.nextInt(FAULT_KINDS)) {
            0 -> replacedCrash(number, at)
            1 -> listOf(PlannedEvent(at, FleetEvent.Freeze(victim(), span())))
            2 -> frozenAndReplaced(number, at)
            3 -> listOf(PlannedEvent(at, FleetEvent.Cut(victim(), victim(), span())))
            4 -> listOf(PlannedEvent(at, FleetEvent.StoreDown(span() * 2)))
            5 -> listOf(PlannedEvent(at, FleetEvent.StoreLosesAnswers(span())))
            6 -> listOf(PlannedEvent(at, FleetEvent.ListDown(span())))
            7 -> wronglyUnlisted(at)
            8 -> listOf(PlannedEvent(at, FleetEvent.Agree(agreement())))
            9 -> plannedStop(number, at)
            else -> LimitScenario.startOf(InstanceName("extra-$number"), "extra-$number:1", at)
        }

    private fun replacedCrash(number: Int, at: Duration): List<PlannedEvent> {
        val name = victimName()
        return listOf(
            PlannedEvent(at, FleetEvent.Crash("$name:1")),
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

    private fun wronglyUnlisted(at: Duration): List<PlannedEvent> {
        val name = victimName()
        return listOf(
            PlannedEvent(at, FleetEvent.Unlisted(name)),
            PlannedEvent(at + span(), FleetEvent.Listed(FleetNames.entry(name, "$name:1"))),
        )
    }

    private fun plannedStop(number: Int, at: Duration): List<PlannedEvent> {
        val name = victimName()
        val start = LimitScenario.startOf(InstanceName("new-$number"), "new-$number:1", at)
        return start + PlannedEvent(at + RESTART, FleetEvent.Stop("$name:1"))
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
        const val FAULT_KINDS = 11
        const val MIN_PERCENT = 50L
        const val MAX_PERCENT = 150L
        const val HUNDRED = 100L
        const val MAX_SPAN_MILLIS = 12_000
        const val MAX_LAG_MILLIS = 2_000
        val RESTART = 2.seconds
        val MINUTE = 60.seconds
    }
}
