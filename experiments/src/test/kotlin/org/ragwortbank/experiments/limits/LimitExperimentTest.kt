package org.ragwortbank.experiments.limits

import org.ragwortbank.core.entry.EntrySettings
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.experiments.fleet.FleetSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

class LimitExperimentTest {
    private val account = Account(AccountId("member"), rate = 4_000, burst = 8_000)
    private val scenario = LimitScenario(account, length = 40.seconds)
    private val experiment = LimitExperiment(scenario)

    private fun seedsBreakingBound(experiment: LimitExperiment, seeds: Iterable<Int>): List<Int> =
        seeds.filterNot { experiment.run(FaultMode.FAULTY, it, FAULT_COUNT).isBoundKept }

    @Test
    fun `given random faults, then no window holds more than rate and burst`() {
        assertEquals(emptyList(), seedsBreakingBound(experiment, 1..16))
    }

    @Test
    fun `given random faults and an account that sends several times its rate, then the bound holds all the same`() {
        val overload = LimitExperiment(scenario.copy(offeredShare = 2.5))
        assertEquals(emptyList(), seedsBreakingBound(overload, (1..8) + ISOLATED_PROCESS_SEEDS))
    }

    @Test
    fun `given a home that answered under a newer epoch than its own, then it does not collect the bucket back`() {
        assertEquals(emptyList(), seedsBreakingBound(experiment, listOf(81)))
    }

    @Test
    fun `given an agreement lowered before the key-value service goes silent, then the older one counts`() {
        assertEquals(emptyList(), seedsBreakingBound(experiment, listOf(144, 383)))
    }

    @Test
    fun `given a replaced process that still runs, then it does not fight for its place and buckets stay in reach`() {
        val longExperiment = LimitExperiment(scenario.copy(length = 240.seconds))
        val result = longExperiment.run(FaultMode.CRASHING, seed = 3, faultCount = 0)
        assertTrue(result.isBoundKept)
        assertTrue(
            result.otherRefusals * 50 < result.offeredRequests,
            "${result.otherRefusals} of ${result.offeredRequests} refused",
        )
    }

    @Test
    fun `given homes that never doubt their ownership, then the checker sees the bound broken`() {
        val longLease = FleetSettings(entrySettings = EntrySettings(membershipLease = 1.hours, drainGrace = 1.seconds))
        val overload = LimitExperiment(scenario.copy(offeredShare = 2.5), longLease)
        assertEquals(ISOLATED_PROCESS_SEEDS, seedsBreakingBound(overload, ISOLATED_PROCESS_SEEDS))
    }

    private companion object {
        const val FAULT_COUNT = 6

        /** Schedules in which an isolated process is replaced and goes on for long. */
        val ISOLATED_PROCESS_SEEDS = listOf(136, 163, 183)
    }
}
