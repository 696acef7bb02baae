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

/** Validates settings and table files without network access. */
@Command(
    name = "check",
    description = ["Validates settings and table files and reports all problems; uses no network."],
    mixinStandardHelpOptions = true,
)
class CheckCommand : Callable<Int> {
    @Spec
    private lateinit var spec: CommandSpec

    @Option(names = ["--entry"], paramLabel = "FILE", description = ["Settings of an entry."])
    private var entryFiles: List<Path> = emptyList()

    @Option(names = ["--sidecar"], paramLabel = "FILE", description = ["Settings of a sidecar."])
    private var sidecarFiles: List<Path> = emptyList()

    @Option(names = ["--gateway"], paramLabel = "FILE", description = ["Settings of a gateway."])
    private var gatewayFiles: List<Path> = emptyList()

    @Option(names = ["--placer"], paramLabel = "FILE", description = ["Settings of a placer."])
    private var placerFiles: List<Path> = emptyList()

    @Option(names = ["--routes"], paramLabel = "FILE", description = ["The routes table; requires --pools."])
    private var routesOption: Path? = null

    @Option(names = ["--pools"], paramLabel = "FILE", description = ["The pools table; requires --routes."])
    private var poolsOption: Path? = null

    override fun call(): Int {
        val problems = validateFiles().flatMap(::findingsOf)
        if (problems.isNotEmpty()) return reportProblems(problems)
        println("no mistakes")
        return ExitCode.OK.number
    }

    private fun findingsOf(result: Validated<*>): List<String> =
        when (result) {
            is Validated.Invalid -> result.problems
            is Validated.Valid<*> -> result.warnings
        }

    private fun validateFiles(): List<Validated<*>> {
        val entryResults = entryFiles.map(SettingsFile::readEntry) + sidecarFiles.map(SettingsFile::readSidecar)
        val gatewayResults = gatewayFiles.map(SettingsFile::readGateway) + placerFiles.map(SettingsFile::readPlacer)
        val results = entryResults + gatewayResults + listOfNotNull(validateTables())
        if (results.isEmpty()) throw ParameterException(spec.commandLine(), "found no file, expected at least one")
        return results
    }

    private fun validateTables(): Validated<*>? {
        val routesFile = routesOption
        val poolsFile = poolsOption
        return when {
            routesFile == null && poolsFile == null -> null
            routesFile == null || poolsFile == null ->
                throw ParameterException(spec.commandLine(), "found one of --routes and --pools, expected both")
            else -> TableFiles.read(routesFile, poolsFile)
        }
    }
}
