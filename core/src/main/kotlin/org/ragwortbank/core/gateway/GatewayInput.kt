package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.pressure.HeldMeasure
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.StreamRecordKey
import kotlin.time.Duration

/**
 * The head of an upstream's answer.
 *
 * @property notRun whether the upstream states that it has not run the request and never will
 * @property load load that the upstream reported with the answer; null if it reported none
 * @property notice what the upstream says of itself; null if it says nothing
 * @property traits what it holds beside what belongs to its request
 * @property needlessTraits what it needn't hold, by what else it holds
 */
data class AnswerFacts(
    val status: Int,
    val notRun: Boolean,
    val load: ReportedLoad?,
    val notice: UpstreamNotice? = null,
    val traits: PersistentSet<AnswerTrait> = persistentSetOf(),
    val needlessTraits: PersistentSet<AnswerTrait> = persistentSetOf(),
) {
    /** Whether the request was run and ended well. */
    val isSuccess: Boolean get() = status in SUCCESSES

    private companion object {
        val SUCCESSES = 200..299
    }
}

/**
 * What an upstream says of itself in the head of an answer, whatever the answer is.
 *
 * @property isLeaving whether it is about to stop and wants no more requests
 * @property quietTime time for which it wants no requests; null if it sets none
 */
data class UpstreamNotice(
    val isLeaving: Boolean = false,
    val quietTime: Duration? = null,
)

/** An event at a gateway since its last tick. */
sealed interface GatewayInput {
    /** A complete request arrived. */
    data class CallArrived(val number: RequestNumber, val call: ServingCall) : GatewayInput

    /** The caller of a request disconnected. */
    data class CallerDisconnected(val number: RequestNumber) : GatewayInput

    /** An attempt ended before any byte of it left this process. */
    data class AttemptNotSent(val number: RequestNumber, val attempt: Int, val cause: String) : GatewayInput

    /**
     * The connection of an attempt broke, or the response on it does not belong to the request.
     *
     * @property trace what its exchange read; null if that is unknown
     */
    data class AttemptFailed(
        val number: RequestNumber,
        val attempt: Int,
        val cause: AttemptFailure,
        val trace: ExchangeTrace? = null,
    ) : GatewayInput

    /**
     * The head of an attempt's answer arrived.
     *
     * @property trace what its exchange read; null if that is unknown
     */
    data class AnswerHeadReceived(
        val number: RequestNumber,
        val attempt: Int,
        val facts: AnswerFacts,
        val trace: ExchangeTrace? = null,
    ) : GatewayInput

    /** An upstream said something of itself with an answer that may still be incomplete. */
    data class UpstreamNoticeReceived(val from: UpstreamIncarnation, val notice: UpstreamNotice) : GatewayInput

    /** The upstream at [endpoint] closed a connection that carried no request, sooner than it had said. */
    data class IdleConnectionClosed(val endpoint: Endpoint) : GatewayInput

    /**
     * The answer of an attempt arrived completely and was relayed to the caller.
     *
     * @property trace what its exchange read and passed on; null if that is unknown
     */
    data class AnswerCompleted(
        val number: RequestNumber,
        val attempt: Int,
        val trace: ExchangeTrace? = null,
    ) : GatewayInput

    /** A read of the store's whole contents at [position] or later, requested at [requestedAt]. */
    data class StoreRead(
        val contents: PersistentList<StoreChange>,
        val requestedAt: Timestamp,
        val position: StorePosition = StorePosition.NONE,
    ) : GatewayInput

    /** Changes of the store up to [position], in its reply to a request made at [requestedAt]. */
    data class StoreChanged(
        val changes: PersistentList<StoreChange>,
        val requestedAt: Timestamp,
        val position: StorePosition = StorePosition.NONE,
    ) : GatewayInput

    /** The store keeps the record [key] of this gateway. */
    data class StreamRecordSaved(val key: StreamRecordKey) : GatewayInput

    /** Whether the store keeps the record [key] of this gateway isn't known. */
    data class StreamRecordFailed(val key: StreamRecordKey) : GatewayInput

    /** A placer reported the state of its engine. */
    data class EngineDigestReceived(val digest: EngineDigest) : GatewayInput

    /** Another gateway reported what it has admitted. */
    data class PeerDigestReceived(val digest: PeerDigest, val from: Endpoint) : GatewayInput

    /** What the connections of callers hold; all that isn't named holds nothing. */
    data class HeldBytesMeasured(val measures: PersistentMap<RequestNumber, HeldMeasure>) : GatewayInput

    /** The settings were reloaded. */
    data class SettingsReloaded(val settings: GatewaySettings) : GatewayInput

    /** A stop of the process was requested, [requestedAgo] before this input. */
    data class StopRequested(val requestedAgo: Duration = Duration.ZERO) : GatewayInput
}
