package org.ragwortbank.cli.command

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.config.ConfigRead
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.model.Configuration

/** A row as it is shown. */
@Serializable
internal data class TableRow(val name: String, val value: String)

@Serializable
private data class ShownTable(val version: Long, val rows: List<TableRow>)

/** Prints what [rows] makes of the stored tables and returns the exit code. */
internal fun showTable(address: Address, json: Boolean, rows: (Configuration) -> List<TableRow>): Int =
    when (val read = Platform.withConfig(address) { it.read() }) {
        is ConfigRead.Unavailable -> fail(ExitCode.UNAVAILABLE, "key-value service: ${read.cause}")
        is ConfigRead.Found -> printTable(ShownTable(read.configuration.version, rows(read.configuration)), json)
    }

private fun printTable(table: ShownTable, json: Boolean): Int {
    if (json) {
        println(Json.encodeToString(ShownTable.serializer(), table))
    } else {
        println("stored version ${table.version}, ${table.rows.size} rows")
        table.rows.forEach { println("${it.name}: ${it.value}") }
    }
    return ExitCode.OK.number
}
