package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp

/** How far a request has come. */
sealed interface RequestStage {
    /**
     * Waits for an upstream that can run it.
     *
     * @property loadingUpstream the upstream that was asked to load the adapter
     */
    data class Waiting(val loadingUpstream: UpstreamId? = null, val loadRequestedAt: Timestamp? = null) : RequestStage

    /** Was sent; no part of the answer has been seen. */
    data class Sent(val upstream: UpstreamId, val sentAt: Timestamp) : RequestStage

    /** The upstream's answer is being passed on to the caller. */
    data class Relaying(val upstream: UpstreamId) : RequestStage
}

/**
 * A request from its arrival to the end of its answer.
 *
 * @property deadline when the caller or the route's timeout gives up, whichever is first
 * @property tokens what it counts against its account's rate; 0 when it is not limited
 * @property attemptCount sends so far
 * @property triedUpstreams upstreams to which it was sent
 * @property possibleExecutors upstreams that may have begun it
 */
data class RequestRow(
    val number: RequestNumber,
    val call: ServingCall,
    val route: ServingRoute,
    val service: ServiceName,
    val account: AccountId?,
    val priority: Int,
    val tokens: Long,
    val arrivedAt: Timestamp,
    val deadline: Timestamp,
    val stage: RequestStage = RequestStage.Waiting(),
    val attemptCount: Int = 0,
    val triedUpstreams: PersistentSet<UpstreamId> = persistentSetOf(),
    val possibleExecutors: PersistentSet<UpstreamId> = persistentSetOf(),
) {
    /** Whether some upstream may have begun it. */
    val mayHaveRun: Boolean get() = possibleExecutors.isNotEmpty()

    /** The upstream that has it at present; null while it waits. */
    val upstream: UpstreamId? get() = when (val current = stage) {
        is RequestStage.Waiting -> null
        is RequestStage.Sent -> current.upstream
        is RequestStage.Relaying -> current.upstream
    }

    /** Whether the request may be sent to [upstream] without exceeding the route's number of upstreams. */
    fun mayTry(upstream: UpstreamId): Boolean =
        upstream !in possibleExecutors && (upstream in triedUpstreams || triedUpstreams.size < route.maxAttempts)

    /** This row with its present upstream among those that may have begun it. */
    fun markMayHaveRun(): RequestRow = upstream?.let { copy(possibleExecutors = possibleExecutors.add(it)) } ?: this
}
