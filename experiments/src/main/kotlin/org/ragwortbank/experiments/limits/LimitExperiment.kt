package org.ragwortbank.experiments.limits

import org.ragwortbank.experiments.fleet.FleetHistory
import org.ragwortbank.experiments.fleet.FleetRun
import org.ragwortbank.experiments.fleet.FleetSettings
import org.ragwortbank.experiments.fleet.ScheduledEvent
import kotlin.random.Random

/** Runs of the simulated fleet that test rate limits; the seed of a run determines its load and faults. */
class LimitExperiment(
    private val scenario: LimitScenario,
    private val settings: FleetSettings = FleetSettings(),
) {
    /** The history of a run with [seed] in [mode], with [faultCount] faults if the mode is FAULTY. */
    fun history(mode: FaultMode, seed: Int, faultCount: Int): FleetHistory {
        val random = Random(seed)
        val loadEvents = scenario.entryStarts() + scenario.requestArrivals(random)
        val events = loadEvents + faultEvents(mode, FaultPlan(scenario, random), faultCount)
        return FleetRun(settings).run(scenario.account, events, scenario.length)
    }

    /** The result of a run with the same arguments as for [history]. */
    fun run(mode: FaultMode, seed: Int, faultCount: Int): LimitResult =
        LimitResult.of(seed, history(mode, seed, faultCount), scenario.entryCount)

    private fun faultEvents(mode: FaultMode, plan: FaultPlan, faultCount: Int): List<ScheduledEvent> =
        when (mode) {
            FaultMode.HEALTHY -> emptyList()
            FaultMode.CRASHING -> plan.crashEachMinute(isHostLost = false)
            FaultMode.LOSING_HOSTS -> plan.crashEachMinute(isHostLost = true)
            FaultMode.FAULTY -> plan.randomFaults(faultCount)
        }
}
