package org.ragwortbank.experiments.limits

import org.ragwortbank.experiments.fleet.FleetHistory
import org.ragwortbank.experiments.fleet.FleetRun
import org.ragwortbank.experiments.fleet.FleetSettings
import org.ragwortbank.experiments.fleet.PlannedEvent
import kotlin.random.Random

/** Runs of the fake fleet for the limits, each determined by its seed. */
class LimitExperiment(
    private val scenario: LimitScenario,
    private val settings: FleetSettings = FleetSettings(),
) {
    /** The history of a run with [seed] in [mode], with [count] faults where they are random. */
    fun history(mode: LimitMode, seed: Int, count: Int): FleetHistory {
        val random = Random(seed)
        val load = scenario.starts() + scenario.arrivals(random)
        val events = load + faults(mode, FaultPlan(scenario, random), count)
        return FleetRun(settings).run(scenario.account, events, scenario.length)
    }

    /** The result of that run. */
    fun run(mode: LimitMode, seed: Int, count: Int): LimitResult =
        LimitResult.of(seed, history(mode, seed, count), scenario.entries)

    private fun faults(mode: LimitMode, plan: FaultPlan, count: Int): List<PlannedEvent> =
        when (mode) {
            LimitMode.HEALTHY -> emptyList()
            LimitMode.CRASHING -> plan.crashEachMinute(hostLost = false)
            LimitMode.LOSING_HOSTS -> plan.crashEachMinute(hostLost = true)
            LimitMode.FAULTY -> plan.faults(count)
        }
}
