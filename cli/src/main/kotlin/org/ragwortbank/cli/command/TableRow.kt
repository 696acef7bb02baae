package org.ragwortbank.cli.command

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.config.ConfigRead
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.model.Configuration

/** A table row as it is printed. */
@Serializable
internal data class TableRow(val name: String, val value: String)

@Serializable
private data class StoredTable(val version: Long, val rows: List<TableRow>)

/** Prints the rows that [rowsOf] selects from the stored tables, and returns the exit code. */
internal fun printStoredTable(address: Address, json: Boolean, rowsOf: (Configuration) -> List<TableRow>): Int =
    when (val read = PlatformClients.withConfigStore(address) { it.read() }) {
        is ConfigRead.Unavailable -> fail(ExitCode.UNAVAILABLE, "key-value service: ${read.cause}")
        is ConfigRead.Found -> printTable(StoredTable(read.configuration.version, rowsOf(read.configuration)), json)
    }

private fun printTable(table: StoredTable, json: Boolean): Int {
    if (json) {
        println(Json.encodeToString(StoredTable.serializer(), table))
    } else {
        println("stored version ${table.version}, ${table.rows.size} rows")
        table.rows.forEach { println("${it.name}: ${it.value}") }
    }
    return ExitCode.OK.number
}
