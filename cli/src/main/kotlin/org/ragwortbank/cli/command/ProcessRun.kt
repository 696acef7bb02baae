package org.ragwortbank.cli.command

import org.ragwortbank.cli.toml.Checked
import org.ragwortbank.node.NodeProcess
import org.ragwortbank.node.log.LogFormat
import org.ragwortbank.node.log.LogSetup
import org.ragwortbank.node.log.LogTarget
import sun.misc.Signal

/** Runs the process that [start] makes of checked settings until TERM or INT, and returns the exit code. */
internal fun <S> runProcess(
    settings: Checked<S>,
    level: (S) -> String,
    format: (S) -> LogFormat,
    target: LogTarget = LogTarget.STANDARD_ERROR,
    start: (S) -> NodeProcess,
): Int =
    when (settings) {
        is Checked.Bad -> reportProblems(settings.problems)
        is Checked.Good -> {
            LogSetup.configure(level(settings.value), format(settings.value), target)
            runToEnd(start(settings.value))
        }
    }

private fun runToEnd(process: NodeProcess): Int {
    println(process.start())
    listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { process.stop() } }
    process.awaitEnd()
    LogSetup.flush()
    return ExitCode.OK.number
}
