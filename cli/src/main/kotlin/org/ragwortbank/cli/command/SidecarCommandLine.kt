package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.cli.toml.Checked
import org.ragwortbank.node.log.LogSetup
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
        when (val settings = SettingsFile.sidecar(config)) {
            is Checked.Bad -> reportProblems(settings.problems)
            is Checked.Good -> run(settings.value)
        }

    private fun run(settings: SidecarNodeSettings): Int {
        LogSetup.configure(settings.logLevel, settings.logFormat)
        val node = SidecarNode(settings)
        println(node.start())
        stopOnSignal(node::stop)
        node.awaitEnd()
        LogSetup.flush()
        return ExitCode.OK.number
    }
}
