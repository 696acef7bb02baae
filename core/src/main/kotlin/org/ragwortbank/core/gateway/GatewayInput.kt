package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.tick.Timestamp

/**
 * The head of an upstream's answer.
 *
 * @property notRun whether the upstream says that it has not run the request and never will
 * @property load what it told of its load, if anything
 */
data class AnswerFacts(
    val status: Int,
    val notRun: Boolean,
    val load: ReportedLoad?,
)

/** Something that happened to a gateway since its last tick. */
sealed interface GatewayInput {
    /** A whole request arrived. */
    data class CallArrived(val number: RequestNumber, val call: ServingCall) : GatewayInput

    /** The caller of a request disconnected. */
    data class CallerDisconnected(val number: RequestNumber) : GatewayInput

    /** An attempt ended before any byte of it left this process. */
    data class AttemptNotSent(val number: RequestNumber, val attempt: Int, val cause: String) : GatewayInput

    /** An attempt's connection broke, or carried something that is no answer to it. */
    data class AttemptFailed(val number: RequestNumber, val attempt: Int, val cause: String) : GatewayInput

    /** The head of an attempt's answer arrived. */
    data class AnswerHeadReceived(val number: RequestNumber, val attempt: Int, val facts: AnswerFacts) : GatewayInput

    /** An attempt's answer arrived as a whole and went on to the caller. */
    data class AnswerCompleted(val number: RequestNumber, val attempt: Int) : GatewayInput

    /** All that the store holds, asked for at [requestedAt]. */
    data class StoreRead(val contents: PersistentList<StoreChange>, val requestedAt: Timestamp) : GatewayInput

    /** What has changed in the store up to the answer to a question asked at [requestedAt]. */
    data class StoreChanged(val changes: PersistentList<StoreChange>, val requestedAt: Timestamp) : GatewayInput

    /** A placer told what its engine holds. */
    data class EngineDigestReceived(val digest: EngineDigest) : GatewayInput

    /** Another entry told what it has admitted. */
    data class PeerDigestReceived(val digest: PeerDigest, val from: Endpoint) : GatewayInput

    /** The settings were read again. */
    data class SettingsReloaded(val settings: GatewaySettings) : GatewayInput

    /** The process was asked to stop. */
    data object StopRequested : GatewayInput
}
