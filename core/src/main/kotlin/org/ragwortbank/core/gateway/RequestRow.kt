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
     * @property wish the upstream that was asked to load the adapter
     */
    data class Waiting(val wish: UpstreamId? = null, val wishedAt: Timestamp? = null) : RequestStage

    /** Was sent; no part of the answer has been seen. */
    data class Sent(val upstream: UpstreamId, val at: Timestamp) : RequestStage

    /** The upstream's answer is being passed on to the caller. */
    data class Relaying(val upstream: UpstreamId) : RequestStage
}

/**
 * A request from its arrival to the end of its answer.
 *
 * @property endsBy when the caller or the route's timeout gives up, whichever is first
 * @property tokens what it counts against its account's rate; 0 when it is not limited
 * @property attempts sends so far
 * @property tried upstreams to which it was sent
 * @property ranAt upstreams that may have begun it
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
    val endsBy: Timestamp,
    val stage: RequestStage = RequestStage.Waiting(),
    val attempts: Int = 0,
    val tried: PersistentSet<UpstreamId> = persistentSetOf(),
    val ranAt: PersistentSet<UpstreamId> = persistentSetOf(),
) {
    /** Whether some upstream may have begun it. */
    val mayHaveRun: Boolean get() = ranAt.isNotEmpty()

    /** The upstream that has it at present; null while it waits. */
    val upstream: UpstreamId? get() = when (val s = stage) {
        is RequestStage.Waiting -> null
        is RequestStage.Sent -> s.upstream
        is RequestStage.Relaying -> s.upstream
    }

    /** Whether the request may be sent to [upstream] without exceeding the route's number of upstreams. */
    fun mayTry(upstream: UpstreamId): Boolean =
        upstream !in ranAt && (upstream in tried || tried.size < route.maxAttempts)

    /** This row with its present upstream among those that may have begun it. */
    fun ran(): RequestRow = upstream?.let { copy(ranAt = ranAt.add(it)) } ?: this
}
