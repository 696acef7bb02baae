package org.ragwortbank.experiments.limits

import org.ragwortbank.experiments.fleet.ScheduledEvent
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Schedules the faults of a run; faults may overlap. */
class FaultPlan(private val scenario: LimitScenario, private val random: Random) {
    private val generator = FaultGenerator(scenario, random)

    /** The events of [faultCount] faults of random kinds at random times. */
    fun randomFaults(faultCount: Int): List<ScheduledEvent> = (1..faultCount).flatMap { faultNumber ->
        val offset = LimitScenario.WARM_UP + random.nextInt(scenario.length.inWholeMilliseconds.toInt()).milliseconds
        generator.faultKinds.random(random)(faultNumber, offset)
    }

    /** Crashes one random entry each minute, together with its host if [isHostLost], and replaces it. */
    fun crashEachMinute(isHostLost: Boolean): List<ScheduledEvent> {
        val minuteCount = (scenario.length / MINUTE).toInt()
        return (0 until minuteCount).flatMap { minute ->
            generator.crashAndReplace(minute, MINUTE * minute + MINUTE / 2, isHostLost)
        }
    }

    private companion object {
        val MINUTE = 60.seconds
    }
}
