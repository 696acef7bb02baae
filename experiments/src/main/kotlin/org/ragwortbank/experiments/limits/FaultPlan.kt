package org.ragwortbank.experiments.limits

import org.ragwortbank.experiments.fleet.PlannedEvent
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults in random order, several of which may overlap. */
class FaultPlan(private val scenario: LimitScenario, private val random: Random) {
    private val faults = Faults(scenario, random)

    /** The events of [count] faults. */
    fun faults(count: Int): List<PlannedEvent> = (1..count).flatMap { number ->
        val at = LimitScenario.WARM_UP + random.nextInt(scenario.length.inWholeMilliseconds.toInt()).milliseconds
        faults.kinds.random(random)(number, at)
    }

    /** One entry crashes each minute, with its host when [hostLost], and is replaced. */
    fun crashEachMinute(hostLost: Boolean): List<PlannedEvent> {
        val minutes = (scenario.length / MINUTE).toInt()
        return (0 until minutes).flatMap { minute ->
            faults.replacedCrash(minute, MINUTE * minute + MINUTE / 2, hostLost)
        }
    }

    private companion object {
        val MINUTE = 60.seconds
    }
}
