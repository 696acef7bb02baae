package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.pressure.CutReason
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.PeerDigest
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.ServiceVersions
import org.ragwortbank.core.versions.StreamRecord

/**
 * One attempt to run a request at an upstream.
 *
 * @property startedMillis start of this incarnation of the upstream, as it is registered
 * @property account client account of the request; null on a public route
 * @property priority rank, where 0 is the most urgent
 * @property adapterVersion version of the adapter that must serve it; null for whichever is resident
 * @property deadline when the upstream may stop working on it
 */
data class UpstreamAttempt(
    val number: RequestNumber,
    val attemptNumber: Int,
    val upstream: UpstreamId,
    val startedMillis: Long,
    val endpoint: Endpoint,
    val account: AccountId?,
    val priority: Int,
    val adapterVersion: Long?,
    val deadline: Timestamp,
) {
    /** The incarnation of the upstream that it is meant for. */
    val incarnation: UpstreamIncarnation get() = UpstreamIncarnation(upstream, startedMillis)
}

/** Why an attempt is cancelled; [label] is for log lines. */
enum class CancelCause(val label: String) {
    /** The upstream has not run the request. */
    REJECTED("rejected by the upstream"),

    /** The answer is a failure, and another upstream may succeed. */
    FAILED("failed, tried elsewhere"),

    /** The caller disconnected. */
    CALLER_DISCONNECTED("the caller disconnected"),

    /** The deadline passed. */
    DEADLINE("the deadline passed"),

    /** The process stops. */
    STOP("the process stops"),

    /** The caller reads too slowly. */
    SLOW_CALLER("the caller reads too slowly"),

    /** Requests with a trait of this one are refused from now on. */
    BLOCKED("requests like it are refused from now on"),
}

/** An action that the systems of a gateway decided on. */
sealed interface GatewayEffect {
    /** Send a request to an upstream. */
    data class Send(val attempt: UpstreamAttempt) : GatewayEffect

    /** Pass the answer of an attempt on to the caller. */
    data class Relay(val number: RequestNumber, val attempt: Int) : GatewayEffect

    /** Cancel an attempt and close its connection. */
    data class CancelAttempt(val number: RequestNumber, val attempt: Int, val cause: CancelCause) : GatewayEffect

    /** Answer the caller with a refusal. */
    data class Refuse(val number: RequestNumber, val refusal: Refusal) : GatewayEffect

    /** Have the store keep that requests with [trait] are refused. */
    data class SaveBlock(val trait: CrashTrait) : GatewayEffect

    /** Have the store drop that requests with [trait] are refused. */
    data class DropBlock(val trait: CrashTrait) : GatewayEffect

    /** Have the store keep [versions] of [service], if what it has is of [expectedRevision]; 0 if it must have none. */
    data class SaveVersions(
        val service: ServiceName,
        val versions: ServiceVersions,
        val expectedRevision: Long,
    ) : GatewayEffect

    /** Have the store keep [record] and those [beside] it for the longest life of a stream, and report when it does. */
    data class SaveStreamRecord(
        val record: StreamRecord,
        val beside: PersistentList<StreamRecord> = persistentListOf(),
    ) : GatewayEffect

    /** Read the changes of the store now instead of after the usual delay. */
    data object RefreshStore : GatewayEffect

    /** Abort an answer that has begun, so that the caller sees that it is incomplete. */
    data class AbortAnswer(val number: RequestNumber, val refusal: Refusal) : GatewayEffect

    /** Read the upstream of an answer until its caller's connection holds [bytes], beyond the usual mark. */
    data class SetReadLimit(val number: RequestNumber, val bytes: Long) : GatewayEffect

    /** Reset the connection of a caller that hasn't taken its answer, whether or not the answer is complete. */
    data class CutAnswer(val number: RequestNumber, val reason: CutReason) : GatewayEffect

    /** Remove a request that needs no further decision: it was answered, or its caller disconnected. */
    data class RemoveRequest(val number: RequestNumber) : GatewayEffect

    /** Send load requests and adapters in use to the placer at [host]. */
    data class SendDemandDigest(val host: String, val digest: DemandDigest) : GatewayEffect

    /** Send the totals of admitted tokens to the other gateways at [endpoints]. */
    data class SendPeerDigest(val endpoints: PersistentList<Endpoint>, val digest: PeerDigest) : GatewayEffect

    /** Close the connections to [endpoints] that carry no request. */
    data class CloseIdleConnections(val endpoints: PersistentSet<Endpoint>) : GatewayEffect

    /** Write a log line. */
    data class Log(val line: LogLine) : GatewayEffect

    /** Terminate the process. */
    data object Stopped : GatewayEffect
}
