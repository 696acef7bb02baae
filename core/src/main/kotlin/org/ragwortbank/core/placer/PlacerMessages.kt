package org.ragwortbank.core.placer

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp

/** How an engine answered a command. */
enum class CommandOutcome {
    /** The engine is executing it. */
    ACCEPTED,

    /** The engine is already in the requested state. */
    HOLDS,

    /** The engine is executing another command, or its command sequence differs from the expected one. */
    CONFLICT,

    /** The command is not possible or addressed to another engine, or no connection was made. */
    REFUSED,

    /** No answer came; the engine may still execute the command. */
    UNKNOWN,
}

/** An event that a placer has received since its last tick. */
sealed interface PlacerInput {
    /** The engine answered the report request made at [requestedAt]. */
    data class ReportReceived(val report: EngineReport, val requestedAt: Timestamp) : PlacerInput

    /** A report request failed. */
    data class ReportFailed(val cause: String) : PlacerInput

    /** A command was answered or timed out. */
    data class CommandCompleted(val number: Long, val outcome: CommandOutcome) : PlacerInput

    /** A gateway sent its demand. */
    data class DemandDigestReceived(val digest: DemandDigest, val senderEndpoint: Endpoint) : PlacerInput

    /** The process was asked to stop. */
    data object StopRequested : PlacerInput
}

/** An action that a placer's systems decided on. */
sealed interface PlacerEffect {
    /** Request a report from the engine. */
    data object RequestReport : PlacerEffect

    /**
     * Send a command to the engine [upstream].
     *
     * @property number identifies the command among those of this process
     * @property expectedSequence command sequence at which the engine may execute it
     * @property fencingToken never lower than that of an earlier command to this incarnation of the engine
     */
    data class SendCommand(
        val upstream: UpstreamId,
        val command: EngineCommand,
        val number: Long,
        val expectedSequence: Long,
        val fencingToken: Long,
    ) : PlacerEffect

    /** Send the engine's state to the gateways at [endpoints]. */
    data class SendEngineDigest(val endpoints: PersistentList<Endpoint>, val digest: EngineDigest) : PlacerEffect

    /** Write a log line. */
    data class Log(val line: LogLine) : PlacerEffect

    /** The placer has stopped; the process may exit. */
    data object Stopped : PlacerEffect
}
