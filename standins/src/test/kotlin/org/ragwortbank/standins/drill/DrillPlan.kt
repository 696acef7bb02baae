package org.ragwortbank.standins.drill

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Acts in the order of their times since the start of the plan.
 *
 * @property length time after which the plan is over
 */
class DrillPlan private constructor(private val steps: List<DrillStep>, val length: Duration) {
    /** The acts after [from] and until [until]. */
    fun actsBetween(from: Duration, until: Duration): List<DrillAct> =
        steps.filter { it.at > from && it.at <= until }.map { it.act }

    companion object {
        /** Leaves time after the last act in which machines are in touch, so that what they do then is checked. */
        private val roundLength = 8.seconds
        private const val BEFORE_MILLIS = 900
        private const val AFTER_MILLIS = 400
        private val END_MILLIS = -600..600

        /** Rounds with the given [faults] of the store, each with changes and a gateway that ends and starts again. */
        fun rounds(random: Random, faults: List<StoreFault>, machines: Int): DrillPlan {
            val steps = faults.flatMapIndexed { index, fault -> round(roundLength * index, random, fault, machines) }
            return DrillPlan(steps.sortedBy { it.at }, roundLength * faults.size)
        }

        private fun round(start: Duration, random: Random, fault: StoreFault, machines: Int): List<DrillStep> {
            val faultAt = start + 1.seconds
            val faultSteps = fault.steps(faultAt, random)
            val latest = faultSteps.lastOrNull()?.at ?: faultAt
            val during = DrillStep(faultAt + (latest - faultAt) * random.nextDouble(), DrillAct.Publish)
            val after = DrillStep(latest + random.millis(0..AFTER_MILLIS), DrillAct.Publish)
            val changes = if (random.nextBoolean()) listOf(during, after) else listOf(during)
            val end = DrillAct.GatewayEnds(random.nextInt(machines), random.nextBoolean(), random.millis(0..400))
            val before = DrillStep(faultAt - random.millis(0..BEFORE_MILLIS), DrillAct.Publish)
            return faultSteps + changes + before + DrillStep(faultAt + random.millis(END_MILLIS), end)
        }

        private fun Random.millis(range: IntRange): Duration = nextInt(range.first, range.last + 1).milliseconds
    }
}
