package org.ragwortbank.experiments.limits

import org.ragwortbank.experiments.fleet.FleetRun
import org.ragwortbank.experiments.fleet.FleetSettings
import kotlin.random.Random

/** Runs of the fake fleet for the limits, each determined by its seed. */
class LimitExperiment(
    private val scenario: LimitScenario,
    private val settings: FleetSettings = FleetSettings(),
) {
    /** A run without failures. */
    fun healthy(seed: Int): LimitResult = run(seed) { emptyList() }

    /** A run in which an entry crashes each minute. */
    fun crashing(seed: Int): LimitResult = run(seed) { it.crashEachMinute() }

    /** A run with [count] random faults. */
    fun faulty(seed: Int, count: Int): LimitResult = run(seed) { it.faults(count) }

    private fun run(seed: Int, faults: (FaultPlan) -> List<org.ragwortbank.experiments.fleet.PlannedEvent>): LimitResult {
        val random = Random(seed)
        val events = scenario.starts() + scenario.arrivals(random) + faults(FaultPlan(scenario, random))
        val history = FleetRun(settings).run(scenario.account, events, scenario.length)
        return LimitResult.of(seed, history, scenario.entries)
    }
}
