package org.ragwortbank.node.port

import org.ragwortbank.core.placer.CommandOutcome
import org.ragwortbank.core.placer.EngineReport
import org.ragwortbank.core.placer.PlacerEffect

/** Outcome of asking an engine for its state. */
sealed interface ReportReply {
    /** The engine's state. */
    data class Report(val report: EngineReport) : ReportReply

    /** The engine did not answer, or not in a way that is understood. */
    data class Failed(val cause: String) : ReportReply
}

/** Calls of the engine beside a placer; each answer comes on the event loop's thread, exactly once. */
interface EngineControlClient {
    /** Asks for the engine's state. */
    fun fetchReport(done: (ReportReply) -> Unit)

    /** Gives an order. */
    fun send(command: PlacerEffect.SendCommand, done: (CommandOutcome) -> Unit)
}
