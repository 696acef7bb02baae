package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.node.entry.EntryNode
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
        ProcessRunner<EntryNodeSettings, EntryNode>(
            readSettings = { SettingsFile.readEntry(config) },
            logLevelOf = { it.logLevel },
            logFormatOf = { it.logFormat },
        ).run { settings -> { EntryNode(settings) } }
}
