package org.ragwortbank.cli.command

import picocli.CommandLine.Option
import java.nio.file.Path

/** Options that name the table files. */
class TableOptions {
    @Option(names = ["--routes"], required = true, paramLabel = "FILE", description = ["The routes table in TOML."])
    internal lateinit var routesFile: Path

    @Option(
        names = ["--pools"],
        required = true,
        paramLabel = "FILE",
        description = ["The pools table with the accounts' agreements in TOML."],
    )
    internal lateinit var poolsFile: Path
}
