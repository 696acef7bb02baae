package org.ragwortbank.experiments.limits

import org.ragwortbank.experiments.fleet.ScheduledEvent
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults in random order, several of which may overlap. */
class FaultPlan(private val scenario: LimitScenario, private val random: Random) {
    private val generator = FaultGenerator(scenario, random)

    /** The events of [faultCount] faults. */
    fun randomFaults(faultCount: Int): List<ScheduledEvent> = (1..faultCount).flatMap { faultNumber ->
        val offset = LimitScenario.WARM_UP + random.nextInt(scenario.length.inWholeMilliseconds.toInt()).milliseconds
        generator.faultKinds.random(random)(faultNumber, offset)
    }

    /** One entry crashes each minute, with its host when [isHostLost], and is replaced. */
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
