package org.ragwortbank.experiments.limits

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.experiments.fleet.FleetEvent
import org.ragwortbank.experiments.fleet.PlannedEvent
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Load on a fleet.
 *
 * @property entries entries at the beginning
 * @property offered share of the account's rate that is offered
 * @property meanTokens mean size of a request in tokens
 * @property skew 1 spreads requests evenly over the entries; higher values favour the first ones
 */
data class LimitScenario(
    val account: Account,
    val entries: Int = 4,
    val offered: Double = 0.9,
    val meanTokens: Int = 800,
    val skew: Double = 1.0,
    val length: Duration = 60.seconds,
) {
    /** The entries' starts, staggered a little. */
    fun starts(): List<PlannedEvent> = (1..entries).flatMap { number ->
        val name = InstanceName("entry-$number")
        startOf(name, "$name:1", (number * STAGGER_MILLIS).milliseconds)
    }

    /** Requests with exponential pauses and sizes from a quarter to seven quarters of the mean. */
    fun arrivals(random: Random): List<PlannedEvent> {
        val meanPause = meanTokens / (account.rate * offered)
        return generateSequence(WARM_UP) { it + pause(random, meanPause) }
            .takeWhile { it < length }
            .map { PlannedEvent(it, FleetEvent.Arrive(pick(random), tokens(random))) }
            .toList()
    }

    private fun pause(random: Random, mean: Double): Duration = (-ln(1 - random.nextDouble()) * mean).seconds

    private fun pick(random: Random): Double = Math.pow(random.nextDouble(), skew)

    private fun tokens(random: Random): Long =
        random.nextLong(meanTokens / QUARTERS, meanTokens * MOST_QUARTERS / QUARTERS)

    companion object {
        private const val STAGGER_MILLIS = 37
        private const val QUARTERS = 4L
        private const val MOST_QUARTERS = 7L

        /** Time in which the fleet assembles before requests arrive. */
        val WARM_UP: Duration = 3.seconds

        /** The start of a process and its listing a little later. */
        fun startOf(name: InstanceName, address: String, at: Duration): List<PlannedEvent> = listOf(
            PlannedEvent(at, FleetEvent.Start(name, address)),
            PlannedEvent(at + LISTING_LAG, FleetEvent.Listed(FleetNames.entry(name, address))),
        )

        private val LISTING_LAG = 300.milliseconds
    }
}
