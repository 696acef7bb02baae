package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.node.entry.EntryNode
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
        ProcessRunner<_, EntryNode>({ SettingsFile.readEntry(config) }, { it.logLevel }, { it.logFormat })
            .run { settings -> { EntryNode(settings) } }
}
