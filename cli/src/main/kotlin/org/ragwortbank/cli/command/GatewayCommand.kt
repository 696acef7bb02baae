package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.node.gateway.GatewayNode
import org.ragwortbank.node.log.LogTarget
import org.ragwortbank.platform.PreparedPlatform
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

    override fun call(): Int =
        runProcess(SettingsFile.gateway(config), { it.logLevel }, { it.logFormat }, LogTarget.STANDARD_OUTPUT) {
            GatewayNode(it, PreparedPlatform())
        }
}
