package org.ragwortbank.cli.command

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** Shows the stored pools table. */
@Command(
    name = "pools",
    description = ["Shows the stored pools table with the accounts' agreements."],
    mixinStandardHelpOptions = true,
)
class PoolsCommand : Callable<Int> {
    @Mixin
    private lateinit var store: KeyValueOptions

    @Option(names = ["--json"], description = ["Prints JSON."])
    private var json = false

    override fun call(): Int = printStoredTable(store.address, json) { tables ->
        val pools = tables.pools.values.sortedBy { it.name.value }
        val accounts = tables.accounts.values.sortedBy { it.id.value }
        pools.map { TableRow("pools.${it.name}", it.displayText()) } +
            accounts.map { TableRow("accounts.${it.id}", it.displayText()) }
    }
}
