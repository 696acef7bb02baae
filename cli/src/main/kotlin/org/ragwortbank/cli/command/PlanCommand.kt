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

/** Shows what `apply` would change. */
@Command(
    name = "plan",
    description = ["Shows the difference between the declared and the stored tables."],
    mixinStandardHelpOptions = true,
)
class PlanCommand : Callable<Int> {
    @Mixin
    private lateinit var tables: TableOptions

    @Mixin
    private lateinit var store: KeyValueOptions

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int =
        when (val declared = TableFiles.read(tables.routes, tables.pools)) {
            is Validated.Invalid -> reportProblems(declared.problems)
            is Validated.Valid -> plan(declared.value)
        }

    private fun plan(declared: Configuration): Int =
        when (val read = Platform.withConfig(store.address) { it.read() }) {
            is ConfigRead.Unavailable -> fail(ExitCode.UNAVAILABLE, "key-value service: ${read.cause}")
            is ConfigRead.Found -> show(read.configuration, declared)
        }

    private fun show(present: Configuration, declared: Configuration): Int {
        val lines = changeLines(present, changesBetween(present, declared))
        if (json) {
            println(Json.encodeToString(Plan.serializer(), Plan(present.version, lines)))
        } else {
            println("stored version ${present.version}, changes: ${lines.size}")
            lines.forEach(::println)
        }
        return ExitCode.OK.number
    }

    @Serializable
    private data class Plan(val version: Long, val changes: List<String>)
}
