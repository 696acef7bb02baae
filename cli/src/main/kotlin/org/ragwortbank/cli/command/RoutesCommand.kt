package org.ragwortbank.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** Shows the stored routes table. */
@Command(
    name = "routes",
    description = ["Shows the stored routes table."],
    mixinStandardHelpOptions = true,
)
class RoutesCommand : Callable<Int> {
    @Mixin
    private lateinit var store: KeyValueOptions

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int = printStoredTable(store.address, json) { tables ->
        tables.routes.values.sortedBy { it.name.value }.map { TableRow(it.name.value, it.displayText()) }
    }
}
