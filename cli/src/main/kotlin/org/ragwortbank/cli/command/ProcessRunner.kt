package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.cli.toml.Validated
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.node.NodeProcess
import org.ragwortbank.node.gateway.GatewayNode
import org.ragwortbank.node.gateway.ListeningSocket
import org.ragwortbank.node.log.LogFormat
import org.ragwortbank.node.log.LogSetup
import org.ragwortbank.node.log.LogTarget
import org.ragwortbank.node.log.PlatformLog
import org.ragwortbank.node.log.SettingsLog
import org.ragwortbank.node.placer.PlacerNode
import org.ragwortbank.node.settings.GatewayNodeSettings
import org.ragwortbank.node.settings.PlacerNodeSettings
import org.ragwortbank.platform.PreparedPlatform
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicReference

/** Runs a gateway with the settings file [config] until TERM or INT, and returns the exit code. */
internal fun runGateway(config: Path): Int =
    ProcessRunner(
        readSettings = { inForce -> SettingsFile.readGateway(config, inForce?.gateway ?: GatewaySettings()) },
        logLevelOf = { it.logLevel },
        logFormatOf = { it.logFormat },
        logTarget = LogTarget.STANDARD_OUTPUT,
        applySettings = GatewayNode::apply,
    ).run { settings -> gatewayFactory(settings, ListeningSocket.open(settings.httpAddress)) }

/** Returns a factory of a gateway that accepts callers on the open [callerSocket]. */
private fun gatewayFactory(settings: GatewayNodeSettings, callerSocket: ListeningSocket): () -> GatewayNode =
    { GatewayNode(settings, PreparedPlatform(), callerSocket) }

/** Runs a placer with the settings file [config] until TERM or INT, and returns the exit code. */
internal fun runPlacer(config: Path): Int =
    ProcessRunner<PlacerNodeSettings, PlacerNode>(
        readSettings = { SettingsFile.readPlacer(config) },
        logLevelOf = { it.logLevel },
        logFormatOf = { it.logFormat },
        logTarget = LogTarget.STANDARD_OUTPUT,
    ).run { settings -> { PlacerNode(settings, PreparedPlatform()) } }

/**
 * Runs a process until TERM or INT; HUP reloads its settings file.
 *
 * @property readSettings reads and validates the settings file, given the settings in force; null at the start
 * @property applySettings applies reloaded settings, as far as possible without a restart
 */
internal class ProcessRunner<S, P : NodeProcess>(
    private val readSettings: (S?) -> Validated<S>,
    private val logLevelOf: (S) -> String,
    private val logFormatOf: (S) -> LogFormat,
    private val logTarget: LogTarget = LogTarget.STANDARD_ERROR,
    private val applySettings: (P, S) -> Unit = { _, _ -> },
) {
    private val signals = ProcessSignals(::reloadSettings)
    private val settingsInForce = AtomicReference<S?>(null)

    /**
     * Runs a process until it stops, and returns the exit code.
     *
     * [prepare] runs before logging is configured, the function that it returns creates the process afterwards.
     */
    fun run(prepare: (S) -> () -> P): Int {
        signals.handle()
        return when (val settings = readSettings(null)) {
            is Validated.Invalid -> reportProblems(settings.problems)
            is Validated.Valid -> if (signals.isStopRequested) ExitCode.OK.number else run(settings, prepare)
        }
    }

    private fun run(settings: Validated.Valid<S>, prepare: (S) -> () -> P): Int {
        settingsInForce.set(settings.value)
        val createProcess = prepare(settings.value)
        LogSetup.configure(logLevelOf(settings.value), logFormatOf(settings.value), logTarget)
        settings.warnings.forEach(SettingsLog::replacedByDefault)
        val process = createProcess()
        val exitCode = if (start(process)) awaitTermination(process) else ExitCode.START_FAILED
        LogSetup.flush()
        return exitCode.number
    }

    /** Starts [process]; false if one of its addresses can't be used. */
    private fun start(process: P): Boolean =
        try {
            println(process.start())
            true
        } catch (e: IOException) {
            PlatformLog.warn("the process can't start: ${e.message}")
            false
        }

    private fun awaitTermination(process: P): ExitCode {
        signals.passOnTo(process)
        process.awaitTermination()
        return ExitCode.OK
    }

    /** Reads the settings file again; if it has problems, the present settings stay in force. */
    private fun reloadSettings(process: P) {
        when (val settings = readSettings(settingsInForce.get())) {
            is Validated.Invalid -> settings.problems.forEach(SettingsLog::rejected)
            is Validated.Valid -> {
                settingsInForce.set(settings.value)
                SettingsLog.reloaded()
                settings.warnings.forEach(SettingsLog::replacedByDefault)
                applySettings(process, settings.value)
            }
        }
    }
}
