package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp

/**
 * One send of a request to an upstream.
 *
 * @property account whose request it is; null on a public route
 * @property priority rank, where 0 is the most urgent
 * @property adapterVersion version that must serve it; null for whichever the upstream holds
 * @property deadline when the upstream may stop working on it
 */
data class UpstreamAttempt(
    val number: RequestNumber,
    val attemptNumber: Int,
    val upstream: UpstreamId,
    val endpoint: Endpoint,
    val account: AccountId?,
    val priority: Int,
    val adapterVersion: Long?,
    val deadline: Timestamp,
)

/** Something that a gateway's systems decided on. */
sealed interface GatewayEffect {
    /** Send a request. */
    data class Send(val attempt: UpstreamAttempt) : GatewayEffect

    /** Pass the answer of an attempt on to the caller. */
    data class Relay(val number: RequestNumber, val attempt: Int) : GatewayEffect

    /** Give up an attempt; its connection is closed. */
    data class CancelAttempt(val number: RequestNumber, val attempt: Int) : GatewayEffect

    /** Answer the caller with a refusal. */
    data class Refuse(val number: RequestNumber, val refusal: Refusal) : GatewayEffect

    /** Break off an answer that has begun; the caller sees that it is incomplete. */
    data class AbortAnswer(val number: RequestNumber, val refusal: Refusal) : GatewayEffect

    /** Nothing more will be decided about a request: it was answered, or its caller is gone. */
    data class RemoveRequest(val number: RequestNumber) : GatewayEffect

    /** Tell the placer at [host] what is wanted. */
    data class SendDemandDigest(val host: String, val digest: DemandDigest) : GatewayEffect

    /** Tell another entry what was admitted. */
    data class SendPeerDigest(val endpoint: Endpoint, val digest: PeerDigest) : GatewayEffect

    /** Write a log line. */
    data class Log(val line: LogLine) : GatewayEffect

    /** The process may end. */
    data object Stopped : GatewayEffect
}
