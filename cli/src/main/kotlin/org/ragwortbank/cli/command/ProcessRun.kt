package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.cli.toml.Checked
import org.ragwortbank.node.NodeProcess
import org.ragwortbank.node.gateway.GatewayNode
import org.ragwortbank.node.gateway.ListeningSocket
import org.ragwortbank.node.log.LogFormat
import org.ragwortbank.node.log.LogSetup
import org.ragwortbank.node.log.LogTarget
import org.ragwortbank.node.placer.PlacerNode
import org.ragwortbank.platform.PreparedPlatform
import sun.misc.Signal
import java.nio.file.Path

/** Runs a gateway with the settings file [config] until TERM or INT, and returns the exit code. */
internal fun runGateway(config: Path): Int =
    when (val settings = SettingsFile.gateway(config)) {
        is Checked.Bad -> reportProblems(settings.problems)
        is Checked.Good -> {
            val callers = ListeningSocket.open(settings.value.httpAddress)
            runProcess(settings, { it.logLevel }, { it.logFormat }, LogTarget.STANDARD_OUTPUT) {
                GatewayNode(it, PreparedPlatform(), callers)
            }
        }
    }

/** Runs a placer with the settings file [config] until TERM or INT, and returns the exit code. */
internal fun runPlacer(config: Path): Int =
    runProcess(SettingsFile.placer(config), { it.logLevel }, { it.logFormat }, LogTarget.STANDARD_OUTPUT) {
        PlacerNode(it, PreparedPlatform())
    }

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
