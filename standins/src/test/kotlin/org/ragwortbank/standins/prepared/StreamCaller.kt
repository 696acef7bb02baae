package org.ragwortbank.standins.prepared

import org.ragwortbank.clients.http.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A caller of one stream of [eventCount] events. It takes the stream up at the next of [gateways] when it breaks off,
 * as the platform's pages allow, until it is whole or [patience] has passed.
 */
internal class StreamCaller(
    private val name: String,
    private val gateways: List<Address>,
    private val eventCount: Int,
    private val patience: Duration = 12.seconds,
) {
    private val start = TimeSource.Monotonic.markNow()

    /** Calls until the end, and returns what came of it. */
    fun call(): CalledStream =
        generateSequence(CalledStream(name)) { attempt(it) }.first { it.isWhole || start.elapsedNow() > patience }

    private fun attempt(stream: CalledStream): CalledStream {
        val number = stream.attempts.size
        val id = "$name-$number"
        val taken = listOf("Resumes: ${stream.firstAttempt}", "Last-Event-Id: ${stream.events.size}")
        val isTakeUp = stream.firstAttempt != null
        val gateway = gateways[number % gateways.size]
        val attempt = StreamAttempt.send(gateway, "/tale/$name", fields(id) + taken.filter { isTakeUp })
        if (attempt.events.isEmpty()) Thread.sleep(PAUSE_MILLIS)
        val events = stream.events + attempt.events
        return stream.copy(
            events = events,
            isWhole = events.size >= eventCount,
            takeUps = stream.takeUps + if (isTakeUp) 1 else 0,
            refusedTakeUps = stream.refusedTakeUps + if (isTakeUp && attempt.status == NOT_RUN) 1 else 0,
            firstAttempt = stream.firstAttempt ?: id.takeIf { attempt.events.isNotEmpty() },
            attempts = stream.attempts + "$id: ${attempt.status}, ${attempt.events.size} events",
        )
    }

    private fun fields(id: String) = listOf(
        "Host: ${PreparedDeployment.HOST}",
        "X-Request-Id: $id",
        "X-Deadline-Ms: 4000",
        "Authorization: Bearer ${PreparedDeployment.API_KEY}",
    )

    private companion object {
        const val PAUSE_MILLIS = 100L
        const val NOT_RUN = 503
    }
}
