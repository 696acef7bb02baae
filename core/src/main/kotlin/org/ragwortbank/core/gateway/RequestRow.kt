package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.tick.Timestamp

/** Progress of a request. */
sealed interface RequestStage {
    /**
     * Waiting for an upstream that can run it.
     *
     * @property loadingUpstream upstream whose placer is sent a load request for the adapter, since [loadRequestedAt]
     */
    data class Waiting(val loadingUpstream: UpstreamId? = null, val loadRequestedAt: Timestamp? = null) : RequestStage

    /** Sent to an upstream; no part of the answer has arrived. */
    data class Sent(val upstream: UpstreamId, val sentAt: Timestamp) : RequestStage

    /** The upstream's answer is being relayed to the caller since [beganAt]. */
    data class Relaying(val upstream: UpstreamId, val beganAt: Timestamp) : RequestStage
}

/** The head of an answer that arrived at [receivedAt] and isn't passed on yet. */
data class HeldHead(
    val head: GatewayInput.AnswerHeadReceived,
    val receivedAt: Timestamp,
)

/**
 * A request from its admission to the end of its answer.
 *
 * @property deadline the caller's deadline or the end of the route's timeout, whichever is first
 * @property tokens tokens charged to its account; 0 when the account is not limited
 * @property attemptCount number of sends so far
 * @property triedUpstreams upstreams to which it was sent
 * @property possibleExecutors upstreams that may have begun to run it
 * @property version software version to which its stream is bound; null while it is bound to none
 * @property sentTo registration of the upstream to which a resumable stream was last sent; null if it states no version
 * @property needsRecord whether the store has yet to keep at which version its stream begins
 * @property clearedVersion version of the suspects of crashes of which its answer has cleared its traits; null before
 * @property heldHead head of the answer that is held
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
    val version: SoftwareVersion? = null,
    val sentTo: UpstreamRegistration? = null,
    val needsRecord: Boolean = false,
    val clearedVersion: Long? = null,
    val heldHead: HeldHead? = null,
) {
    /** Whether it takes up a stream that has begun before. */
    val isTakeUp: Boolean get() = call.resumption != null

    /** Whether an upstream may have begun to run it. */
    val mayHaveRun: Boolean get() = possibleExecutors.isNotEmpty()

    /** The upstream of the present attempt; null while it waits. */
    val upstream: UpstreamId? get() = when (val current = stage) {
        is RequestStage.Waiting -> null
        is RequestStage.Sent -> current.upstream
        is RequestStage.Relaying -> current.upstream
    }

    /** The upstream that it waits for to load its adapter; null when it doesn't. */
    val loadingUpstream: UpstreamId? get() = (stage as? RequestStage.Waiting)?.loadingUpstream

    /** Whether the request may be sent to [upstream], within the number of upstreams that its route allows. */
    fun mayTry(upstream: UpstreamId): Boolean =
        upstream !in possibleExecutors && (upstream in triedUpstreams || triedUpstreams.size < route.maxAttempts)

    /** This row with its present upstream added to those that may have begun to run it. */
    fun markMayHaveRun(): RequestRow = upstream?.let { copy(possibleExecutors = possibleExecutors.add(it)) } ?: this
}

/** Loads requested at the engine of [digest] without the one for this request, if that was requested there. */
internal fun RequestRow.loadsBefore(digest: EngineDigest): Int =
    if (loadingUpstream == digest.upstream) (digest.requestedLoads - 1).coerceAtLeast(0) else digest.requestedLoads
