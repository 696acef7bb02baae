package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.node.settings.SidecarNodeSettings
import org.ragwortbank.node.sidecar.SidecarNode
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable

/** Runs a sidecar process. */
@Command(
    name = "sidecar",
    description = ["Runs a sidecar process beside one upstream until TERM or INT."],
    mixinStandardHelpOptions = true,
)
class SidecarCommandLine : Callable<Int> {
    @Option(names = ["--config"], required = true, paramLabel = "FILE", description = ["Settings in TOML."])
    private lateinit var config: Path

    override fun call(): Int =
        ProcessRunner<SidecarNodeSettings, SidecarNode>(
            readSettings = { SettingsFile.readSidecar(config) },
            logLevelOf = { it.logLevel },
            logFormatOf = { it.logFormat },
        ).run { settings -> { SidecarNode(settings) } }
}
