package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsFile
import org.ragwortbank.cli.tables.TableFiles
import org.ragwortbank.cli.toml.Validated
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec
import java.nio.file.Path
import java.util.concurrent.Callable

/** Checks files without any network. */
@Command(
    name = "check",
    description = ["Checks settings and table files and names all mistakes; uses no network."],
    mixinStandardHelpOptions = true,
)
class CheckCommand : Callable<Int> {
    @Spec
    private lateinit var spec: CommandSpec

    @Option(names = ["--entry"], paramLabel = "FILE", description = ["Settings of an entry."])
    private var entries: List<Path> = emptyList()

    @Option(names = ["--sidecar"], paramLabel = "FILE", description = ["Settings of a sidecar."])
    private var sidecars: List<Path> = emptyList()

    @Option(names = ["--gateway"], paramLabel = "FILE", description = ["Settings of a gateway."])
    private var gateways: List<Path> = emptyList()

    @Option(names = ["--placer"], paramLabel = "FILE", description = ["Settings of a placer."])
    private var placers: List<Path> = emptyList()

    @Option(names = ["--routes"], paramLabel = "FILE", description = ["The routes table; needs --pools too."])
    private var routes: Path? = null

    @Option(names = ["--pools"], paramLabel = "FILE", description = ["The pools table; needs --routes too."])
    private var pools: Path? = null

    override fun call(): Int {
        val problems = results().filterIsInstance<Validated.Invalid>().flatMap { it.problems }
        if (problems.isNotEmpty()) return reportProblems(problems)
        println("no mistakes")
        return ExitCode.OK.number
    }

    private fun results(): List<Validated<*>> {
        val settings = entries.map(SettingsFile::readEntry) + sidecars.map(SettingsFile::readSidecar)
        val direct = gateways.map(SettingsFile::readGateway) + placers.map(SettingsFile::readPlacer)
        val all = settings + direct + listOfNotNull(tables())
        if (all.isEmpty()) throw ParameterException(spec.commandLine(), "nothing to check: name at least one file")
        return all
    }

    private fun tables(): Validated<*>? {
        val routesFile = routes
        val poolsFile = pools
        return when {
            routesFile == null && poolsFile == null -> null
            routesFile == null || poolsFile == null ->
                throw ParameterException(spec.commandLine(), "--routes and --pools are checked together")
            else -> TableFiles.read(routesFile, poolsFile)
        }
    }
}
