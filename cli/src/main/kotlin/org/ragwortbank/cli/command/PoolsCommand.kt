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

    override fun call(): Int = showTable(store.address, json) { tables ->
        val pools = tables.pools.values.sortedBy { it.name.value }.map { TableRow("pools.${it.name}", it.text()) }
        val accounts = tables.accounts.values.sortedBy { it.id.value }.map { TableRow("accounts.${it.id}", it.text()) }
        pools + accounts
    }
}
