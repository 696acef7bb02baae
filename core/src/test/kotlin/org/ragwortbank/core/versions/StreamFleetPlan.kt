package org.ragwortbank.core.versions

import kotlin.time.Duration

/** Something that happens to a [StreamVersionFleet]. */
internal sealed interface StreamFleetFault {
    /** The gateways [numbers] end and are back after [downTime] with empty tables. */
    data class Kill(val numbers: Set<Int>, val downTime: Duration) : StreamFleetFault

    /** A gateway doesn't reach the store for [time]. */
    data class Cut(val number: Int, val time: Duration) : StreamFleetFault

    /** A gateway stands still for [time]. */
    data class Freeze(val number: Int, val time: Duration) : StreamFleetFault

    /**
     * An upstream ends and starts again after [downTime] at [version].
     *
     * @property keepsId whether it has its id again
     * @property isListed whether it stays on the list meanwhile
     */
    data class Restart(
        val number: Int,
        val downTime: Duration,
        val version: String?,
        val keepsId: Boolean = false,
        val isListed: Boolean = false,
    ) : StreamFleetFault

    /**
     * The store goes away for [awayTime] and comes back from a copy that is [copyAge] old, in which upstreams register
     * again soon.
     */
    data class Drill(val copyAge: Duration, val awayTime: Duration) : StreamFleetFault

    /** An upstream ends for good; [isListed] tells whether it stays on the list for a while. */
    data class End(val number: Int, val isListed: Boolean = false) : StreamFleetFault
}

/**
 * What is played on a [StreamVersionFleet].
 *
 * @property versions versions of the upstreams at the start
 * @property faults what happens, and when
 * @property badWriteShare share of the writes that the store carries out late, or not at all, or without an answer
 */
internal data class StreamFleetPlan(
    val gateways: Int = 4,
    val versions: List<String?> = List(6) { "old" },
    val callsPerSecond: Int = 25,
    val faults: List<Pair<Duration, StreamFleetFault>> = emptyList(),
    val badWriteShare: Double = 0.0,
)

/**
 * A stream as its caller saw it.
 *
 * @property versions versions of the upstreams whose events it holds
 * @property eventsLeft events that it lacks
 * @property firstAttempt id of the request that brought its first event
 * @property takeUps how often it broke off and two upstreams of its version served until it went on or was given up
 */
internal data class CallerStream(
    val number: Int,
    val eventsLeft: Int,
    val versions: Set<String?> = emptySet(),
    val firstAttempt: String? = null,
    val attempts: Int = 0,
    val nextTryAt: Duration? = null,
    val lastSignAt: Duration,
    val giveUpAt: Duration,
    val isBroken: Boolean = false,
    val takeUps: Int = 0,
    val takeUpsGoneOn: Int = 0,
) {
    /** Whether its caller is done with it. */
    fun isOver(now: Duration): Boolean = eventsLeft == 0 || now >= giveUpAt
}
