package org.ragwortbank.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable

/** Runs a placer process. */
@Command(
    name = "placer",
    description = ["Runs a placer process beside one engine of the prepared platform until TERM or INT."],
    mixinStandardHelpOptions = true,
)
class PlacerCommand : Callable<Int> {
    @Option(names = ["--config"], required = true, paramLabel = "FILE", description = ["Settings in TOML."])
    private lateinit var config: Path

    override fun call(): Int = runPlacer(config)
}
