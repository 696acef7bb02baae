package org.ragwortbank.standins.drill

import kotlin.time.Duration.Companion.milliseconds

/** The operators' bounds. */
object DrillBounds {
    /** How long machine and store must have been undisturbed for a machine to be in touch. */
    val contact = 3_000.milliseconds

    /** Until a configuration is in force at machines in touch. */
    val configApply = 2_000.milliseconds

    /** Until a withdrawn key is refused, at all machines. */
    val revoke = 5_000.milliseconds

    /** From the first effect of a version until a process no longer acts on an older one. */
    val revertSlack = 250.milliseconds

    /** Denials of requests that all versions allow, over all machines. */
    const val MAX_FALSE_DENIALS = 10

    /** Requests on routes that were added, from which on their share of successes is compared. */
    const val MIN_ADDED_REQUESTS = 20

    /** Least share of successes on added routes, in that on the first ones. */
    const val MIN_ADDED_SHARE = 0.25
}
