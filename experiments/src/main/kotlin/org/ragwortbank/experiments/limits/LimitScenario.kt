package org.ragwortbank.experiments.limits

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.experiments.fleet.FleetEvent
import org.ragwortbank.experiments.fleet.ScheduledEvent
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The size of a simulated fleet and the load on it.
 *
 * @property entryCount entries that start at the beginning
 * @property offeredShare requested tokens per second as a share of the account's rate
 * @property meanTokens mean size of a request in tokens
 * @property skew 1 spreads requests evenly over the entries; higher values favour entries with lower addresses
 * @property length virtual time that the run takes
 */
data class LimitScenario(
    val account: Account,
    val entryCount: Int = 4,
    val offeredShare: Double = 0.9,
    val meanTokens: Int = 800,
    val skew: Double = 1.0,
    val length: Duration = 60.seconds,
) {
    /** The start of each entry, at intervals of [STAGGER_MILLIS]. */
    fun entryStarts(): List<ScheduledEvent> = (1..entryCount).flatMap { entryNumber ->
        val name = InstanceName("entry-$entryNumber")
        startEvents(name, "$name:1", (entryNumber * STAGGER_MILLIS).milliseconds)
    }

    /** Requests with exponentially distributed intervals and uniform sizes from 1/4 to 7/4 of [meanTokens]. */
    fun requestArrivals(random: Random): List<ScheduledEvent> {
        val meanIntervalSeconds = meanTokens / (account.rate * offeredShare)
        return generateSequence(WARM_UP) { offset -> offset + randomInterval(random, meanIntervalSeconds) }
            .takeWhile { offset -> offset < length }
            .map { ScheduledEvent(it, FleetEvent.SendRequest(randomPosition(random), randomTokens(random))) }
            .toList()
    }

    private fun randomInterval(random: Random, meanSeconds: Double): Duration =
        (-ln(1 - random.nextDouble()) * meanSeconds).seconds

    private fun randomPosition(random: Random): Double = Math.pow(random.nextDouble(), skew)

    private fun randomTokens(random: Random): Long =
        random.nextLong(meanTokens / SIZE_DENOMINATOR, meanTokens * MAX_SIZE_NUMERATOR / SIZE_DENOMINATOR)

    companion object {
        private const val STAGGER_MILLIS = 37
        private const val SIZE_DENOMINATOR = 4L
        private const val MAX_SIZE_NUMERATOR = 7L

        /** Time before the first request, in which entries start and establish membership. */
        val WARM_UP: Duration = 3.seconds

        /** The start of a process, and [LISTING_DELAY] later its addition to the instance list. */
        fun startEvents(name: InstanceName, address: String, offset: Duration): List<ScheduledEvent> = listOf(
            ScheduledEvent(offset, FleetEvent.Start(name, address)),
            ScheduledEvent(offset + LISTING_DELAY, FleetEvent.AddToInstanceList(FleetInstances.entry(name, address))),
        )

        private val LISTING_DELAY = 300.milliseconds
    }
}
