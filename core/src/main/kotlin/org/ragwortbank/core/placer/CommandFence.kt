package org.ragwortbank.core.placer

/**
 * The fencing token of a process's commands to one incarnation of its engine.
 *
 * It comes from what the engine itself counts, since a placer keeps nothing and its clock may be set back between two
 * of its processes. A later process reads a command sequence that is not lower, so its token is not lower either. Where
 * the two are equal, the engine has accepted no command of the earlier one, and the expected sequence on each command
 * lets only one of theirs through. A later incarnation of the engine starts later by more milliseconds than the number
 * of commands that the earlier one can have accepted, so tokens rise over its restarts, too.
 *
 * @property startedMillis start of the engine in Unix milliseconds
 */
data class CommandFence(
    val startedMillis: Long,
    val token: Long,
) {
    /** The fence after [report]: unchanged, unless it shows another incarnation of the engine. */
    fun after(report: EngineReport): CommandFence {
        val latest = of(report)
        val isSameEngine = report.startedMillis == startedMillis && latest.token >= token
        return if (isSameEngine) this else latest
    }

    companion object {
        /** The fence of a process whose first report of the engine is [report]. */
        fun of(report: EngineReport) =
            CommandFence(report.startedMillis, report.startedMillis + report.commandSequence + 1)
    }
}
