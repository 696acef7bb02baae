package org.ragwortbank.standins.drill

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Something that befalls the store in a round of a drill. */
enum class StoreFault {
    /** Nothing. */
    NONE {
        override fun steps(start: Duration, random: Random): List<DrillStep> = emptyList()
    },

    /** Its answers are late for a while. */
    SLOW {
        override fun steps(start: Duration, random: Random): List<DrillStep> = listOf(
            DrillStep(start, DrillAct.StoreAnswersAfter(random.millis(100, 700))),
            DrillStep(start + random.millis(500, 1_200), DrillAct.StoreAnswersAfter(Duration.ZERO)),
        )
    },

    /** It goes away and comes back with all that it had. */
    AWAY {
        override fun steps(start: Duration, random: Random): List<DrillStep> = absence(start, random, copyAge = null)
    },

    /** It goes away and comes back from an older copy. */
    OLDER {
        override fun steps(start: Duration, random: Random): List<DrillStep> =
            absence(start, random, randomCopyAge(random))
    },

    /** It goes away and comes back from an older copy, and once more before long. */
    OLDER_TWICE {
        override fun steps(start: Duration, random: Random): List<DrillStep> {
            val first = absence(start, random, randomCopyAge(random))
            return first + absence(first.last().at + random.millis(100, 800), random, randomCopyAge(random))
        }
    }, ;

    /** What happens from [start] on. */
    abstract fun steps(start: Duration, random: Random): List<DrillStep>

    protected fun absence(start: Duration, random: Random, copyAge: Duration?): List<DrillStep> = listOf(
        DrillStep(start, DrillAct.StoreStops),
        DrillStep(start + random.millis(200, 1_000), DrillAct.StoreReturns(copyAge)),
    )

    protected fun randomCopyAge(random: Random): Duration = random.millis(100, 2_000)

    protected fun Random.millis(from: Int, until: Int): Duration = nextInt(from, until).milliseconds
}
