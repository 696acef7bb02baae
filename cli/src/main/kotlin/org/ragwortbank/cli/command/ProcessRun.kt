package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.cli.toml.Checked
import org.ragwortbank.node.NodeProcess
import org.ragwortbank.node.gateway.GatewayNode
import org.ragwortbank.node.gateway.ListeningSocket
import org.ragwortbank.node.log.LogFormat
import org.ragwortbank.node.log.LogSetup
import org.ragwortbank.node.log.LogTarget
import org.ragwortbank.node.log.SettingsLog
import org.ragwortbank.node.placer.PlacerNode
import org.ragwortbank.node.settings.GatewayNodeSettings
import org.ragwortbank.platform.PreparedPlatform
import sun.misc.Signal
import java.nio.file.Path

/** Runs a gateway with the settings file [config] until TERM or INT, and returns the exit code. */
internal fun runGateway(config: Path): Int =
    ProcessRun(
        read = { SettingsFile.gateway(config) },
        level = { it.logLevel },
        format = { it.logFormat },
        target = LogTarget.STANDARD_OUTPUT,
        apply = GatewayNode::apply,
    ).run { settings -> gateway(settings, ListeningSocket.open(settings.httpAddress)) }

private fun gateway(settings: GatewayNodeSettings, callers: ListeningSocket): () -> GatewayNode =
    { GatewayNode(settings, PreparedPlatform(), callers) }

/** Runs a placer with the settings file [config] until TERM or INT, and returns the exit code. */
internal fun runPlacer(config: Path): Int =
    ProcessRun<_, PlacerNode>(
        read = { SettingsFile.placer(config) },
        level = { it.logLevel },
        format = { it.logFormat },
        target = LogTarget.STANDARD_OUTPUT,
    ).run { settings -> { PlacerNode(settings, PreparedPlatform()) } }

/**
 * Runs a process until TERM or INT; HUP reads its settings file again.
 *
 * @property read reads the settings
 * @property apply puts changed settings in force, as far as that is possible while the process runs
 */
internal class ProcessRun<S, P : NodeProcess>(
    private val read: () -> Checked<S>,
    private val level: (S) -> String,
    private val format: (S) -> LogFormat,
    private val target: LogTarget = LogTarget.STANDARD_ERROR,
    private val apply: (P, S) -> Unit = { _, _ -> },
) {
    /** Runs the process that the function made by [begin] returns, and returns the exit code. */
    fun run(begin: (S) -> () -> P): Int =
        when (val settings = read()) {
            is Checked.Bad -> reportProblems(settings.problems)
            is Checked.Good -> {
                val make = begin(settings.value)
                LogSetup.configure(level(settings.value), format(settings.value), target)
                runToEnd(make())
            }
        }

    private fun runToEnd(process: P): Int {
        Signal.handle(Signal("HUP")) { readAgain(process) }
        println(process.start())
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { process.stop() } }
        process.awaitTermination()
        LogSetup.flush()
        return ExitCode.OK.number
    }

    /** A file with mistakes changes nothing. */
    private fun readAgain(process: P) {
        when (val settings = read()) {
            is Checked.Bad -> settings.problems.forEach(SettingsLog::kept)
            is Checked.Good -> {
                SettingsLog.readAgain()
                apply(process, settings.value)
            }
        }
    }
}
