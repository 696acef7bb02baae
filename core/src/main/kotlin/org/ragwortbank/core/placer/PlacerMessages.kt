package org.ragwortbank.core.placer

import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp

/** How an engine answered an order. */
enum class CommandOutcome {
    /** It is being carried out. */
    ACCEPTED,

    /** What it asks for holds already. */
    HOLDS,

    /** Another order is being carried out, or the number of accepted orders differs. */
    CONFLICT,

    /** The order is not possible, or is for another engine. */
    REFUSED,

    /** No answer came; the order may still be carried out. */
    UNKNOWN,
}

/** Something that happened to a placer since its last tick. */
sealed interface PlacerInput {
    /** The engine reported, asked at [requestedAt]. */
    data class ReportReceived(val report: EngineReport, val requestedAt: Timestamp) : PlacerInput

    /** The engine did not report. */
    data class ReportFailed(val cause: String) : PlacerInput

    /** An order was answered, or was not in time. */
    data class CommandCompleted(val number: Long, val outcome: CommandOutcome) : PlacerInput

    /** An entry told what it wants. */
    data class DemandDigestReceived(val digest: DemandDigest, val senderEndpoint: Endpoint) : PlacerInput

    /** The process was asked to stop. */
    data object StopRequested : PlacerInput
}

/** Something that a placer's systems decided on. */
sealed interface PlacerEffect {
    /** Ask the engine for a report. */
    data object RequestReport : PlacerEffect

    /**
     * Order something of the engine [upstream].
     *
     * @property expectedSequence number of accepted orders at which it may be carried out
     */
    data class SendCommand(
        val upstream: UpstreamId,
        val command: EngineCommand,
        val number: Long,
        val expectedSequence: Long,
    ) : PlacerEffect

    /** Tell an entry what the engine holds. */
    data class SendEngineDigest(val endpoint: Endpoint, val digest: EngineDigest) : PlacerEffect

    /** Write a log line. */
    data class Log(val line: LogLine) : PlacerEffect

    /** The process may end. */
    data object Stopped : PlacerEffect
}
