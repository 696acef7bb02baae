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
    fun `given random faults, then no window admits more than rate and burst`() {
        assertEquals(emptyList(), seedsBreakingBound(experiment, 1..16))
    }

    @Test
    fun `given random faults and an account that offers several times its rate, then the bound holds`() {
        val overload = LimitExperiment(scenario.copy(offeredShare = 2.5))
        assertEquals(emptyList(), seedsBreakingBound(overload, (1..8) + ISOLATED_PROCESS_SEEDS))
    }

    @Test
    fun `given a bucket owner that answered in a newer epoch, then it does not collect the bucket back`() {
        assertEquals(emptyList(), seedsBreakingBound(experiment, listOf(81)))
    }

    @Test
    fun `given an agreement lowered before a key-value outage, then the old one counts until the change spreads`() {
        assertEquals(emptyList(), seedsBreakingBound(experiment, listOf(144, 383)))
    }

    @Test
    fun `given a replaced process that still runs, then it does not reclaim its name and buckets stay reachable`() {
        val longExperiment = LimitExperiment(scenario.copy(length = 240.seconds))
        val result = longExperiment.run(FaultMode.CRASHING, seed = 3, faultCount = 0)
        assertTrue(result.isBoundKept)
        assertTrue(
            result.otherRefusals * 50 < result.offeredRequests,
            "${result.otherRefusals} of ${result.offeredRequests} refused",
        )
    }

    @Test
    fun `given bucket owners with a one hour membership lease, then the checker detects the broken bound`() {
        val longLease = FleetSettings(entrySettings = EntrySettings(membershipLease = 1.hours, drainGrace = 1.seconds))
        val overload = LimitExperiment(scenario.copy(offeredShare = 2.5), longLease)
        assertEquals(ISOLATED_PROCESS_SEEDS, seedsBreakingBound(overload, ISOLATED_PROCESS_SEEDS))
    }

    private companion object {
        const val FAULT_COUNT = 6

        /** Seeds whose runs replace an isolated process that continues to run for a long time. */
        val ISOLATED_PROCESS_SEEDS = listOf(136, 163, 183)
    }
}
