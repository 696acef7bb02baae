package org.ragwortbank.cli.command

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.ragwortbank.cli.tables.TableFiles
import org.ragwortbank.cli.toml.Validated
import org.ragwortbank.clients.config.ConfigRead
import org.ragwortbank.core.config.changesBetween
import org.ragwortbank.core.model.Configuration
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** Prints the changes that `apply` would make. */
@Command(
    name = "plan",
    description = ["Shows the difference between the declared and the stored tables."],
    mixinStandardHelpOptions = true,
)
class PlanCommand : Callable<Int> {
    @Mixin
    private lateinit var tableFiles: TableOptions

    @Mixin
    private lateinit var store: KeyValueOptions

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int =
        when (val declared = TableFiles.read(tableFiles.routesFile, tableFiles.poolsFile)) {
            is Validated.Invalid -> reportProblems(declared.problems)
            is Validated.Valid -> compareWithStored(declared.value)
        }

    private fun compareWithStored(declared: Configuration): Int =
        when (val read = PlatformClients.withConfigStore(store.address) { it.read() }) {
            is ConfigRead.Unavailable -> fail(ExitCode.UNAVAILABLE, "key-value service: ${read.cause}")
            is ConfigRead.Found -> printPlan(read.configuration, declared)
        }

    private fun printPlan(stored: Configuration, declared: Configuration): Int {
        val lines = changeLines(stored, changesBetween(stored, declared))
        if (json) {
            println(Json.encodeToString(Plan.serializer(), Plan(stored.version, lines)))
        } else {
            println("stored version ${stored.version}, changes: ${lines.size}")
            lines.forEach(::println)
        }
        return ExitCode.OK.number
    }

    @Serializable
    private data class Plan(val version: Long, val changes: List<String>)
}
