package org.ragwortbank.experiments.limits

import org.ragwortbank.experiments.fleet.PlannedEvent
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults in random order, several of which may overlap. */
class FaultPlan(private val scenario: LimitScenario, private val random: Random) {
    private val generator = FaultGenerator(scenario, random)

    /** The events of [faultCount] faults. */
    fun randomFaults(faultCount: Int): List<PlannedEvent> = (1..faultCount).flatMap { faultNumber ->
        val offset = LimitScenario.WARM_UP + random.nextInt(scenario.length.inWholeMilliseconds.toInt()).milliseconds
        generator.faultKinds.random(random)(faultNumber, offset)
    }

    /** One entry crashes each minute, with its host when [hostLost], and is replaced. */
    fun crashEachMinute(hostLost: Boolean): List<PlannedEvent> {
        val minuteCount = (scenario.length / MINUTE).toInt()
        return (0 until minuteCount).flatMap { minute ->
            generator.crashAndReplace(minute, MINUTE * minute + MINUTE / 2, hostLost)
        }
    }

    private companion object {
        val MINUTE = 60.seconds
    }
}
