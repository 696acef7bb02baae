package org.ragwortbank.node.port

import org.ragwortbank.core.placer.CommandOutcome
import org.ragwortbank.core.placer.EngineReport
import org.ragwortbank.core.placer.PlacerEffect

/** Outcome of a report request to an engine. */
sealed interface ReportReply {
    /** The engine reported its state. */
    data class Report(val report: EngineReport) : ReportReply

    /** The engine did not answer, or its answer could not be decoded. */
    data class Failed(val cause: String) : ReportReply
}

/** Client of the engine next to a placer. Each call's outcome is delivered exactly once, on the event loop's thread. */
interface EngineControlClient {
    /** Requests a report of the engine's state. */
    fun fetchReport(onReply: (ReportReply) -> Unit)

    /** Sends [command] for the engine to execute. */
    fun send(command: PlacerEffect.SendCommand, onOutcome: (CommandOutcome) -> Unit)
}
