package org.ragwortbank.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable

/** Runs a gateway process. */
@Command(
    name = "gateway",
    description = ["Runs a gateway process of the prepared platform until TERM or INT."],
    mixinStandardHelpOptions = true,
)
class GatewayCommand : Callable<Int> {
    @Option(names = ["--config"], required = true, paramLabel = "FILE", description = ["Settings in TOML."])
    private lateinit var config: Path

    override fun call(): Int = runGateway(config)
}
