package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.cli.toml.Checked
import org.ragwortbank.node.entry.EntryNode
import org.ragwortbank.node.log.LogSetup
import org.ragwortbank.node.settings.EntryNodeSettings
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable

/** Runs an entry process. */
@Command(
    name = "entry",
    description = ["Runs an entry process until it is stopped by TERM or INT."],
    mixinStandardHelpOptions = true,
)
class EntryCommand : Callable<Int> {
    @Option(names = ["--config"], required = true, paramLabel = "FILE", description = ["Settings in TOML."])
    private lateinit var config: Path

    override fun call(): Int =
        when (val settings = SettingsFile.entry(config)) {
            is Checked.Bad -> reportProblems(settings.problems)
            is Checked.Good -> run(settings.value)
        }

    private fun run(settings: EntryNodeSettings): Int {
        LogSetup.configure(settings.logLevel, settings.logFormat)
        val node = EntryNode(settings)
        println(node.start())
        stopOnSignal(node::stop)
        node.awaitEnd()
        LogSetup.flush()
        return ExitCode.OK.number
    }
}
