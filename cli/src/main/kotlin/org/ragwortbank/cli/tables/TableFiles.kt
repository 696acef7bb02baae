package org.ragwortbank.cli.tables

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.cli.toml.TomlContent
import org.ragwortbank.cli.toml.TomlFile
import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.Validated
import org.ragwortbank.cli.toml.choice
import org.ragwortbank.cli.toml.long
import org.ragwortbank.cli.toml.optionalBoolean
import org.ragwortbank.cli.toml.optionalString
import org.ragwortbank.cli.toml.string
import org.ragwortbank.cli.toml.strings
import org.ragwortbank.core.config.TableChange
import org.ragwortbank.core.config.checkConfiguration
import org.ragwortbank.core.config.with
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.Pool
import org.ragwortbank.core.model.PoolName
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.model.UpstreamPattern
import java.nio.file.Path

private const val MAX_TOKENS = 1_000_000_000L
private val tokensRange = 1L..MAX_TOKENS

/** Reads and validates the files in which operators declare routes, pools and accounts. */
object TableFiles {
    /** Reads the tables declared in [routes] and [pools]; keys are not declared in files. */
    fun read(routes: Path, pools: Path): Validated<Configuration> {
        val contents = listOf(TomlFile.read(routes), TomlFile.read(pools))
        val fileProblems = contents.filterIsInstance<TomlContent.Unreadable>().map { it.problem.toString() }
        val tables = contents.filterIsInstance<TomlContent.Parsed>().map { it.table }
        return when {
            fileProblems.isNotEmpty() -> Validated.Invalid(fileProblems)
            else -> validate(TomlReader(routes.toString(), tables.first()), TomlReader(pools.toString(), tables.last()))
        }
    }

    private fun validate(routes: TomlReader, pools: TomlReader): Validated<Configuration> {
        val changes = pools.section("accounts") { readRows(it, ::readAccount) } +
            pools.section("pools") { readRows(it, ::readPool) } +
            routes.section("routes") { readRows(it, ::readRoute) }
        val declared = changes.fold(Configuration()) { tables, change -> tables.with(change) }
        val fileProblems = (routes.finish() + pools.finish()).map { it.toString() }
        val problems = fileProblems.ifEmpty { checkConfiguration(declared).map { it.toString() } }
        return if (problems.isEmpty()) Validated.Valid(declared) else Validated.Invalid(problems)
    }

    private fun readRows(reader: TomlReader, readRow: (String, TomlReader) -> TableChange): List<TableChange> =
        reader.names.sorted().map { name -> reader.section(name) { readRow(name, it) } }

    private fun readAccount(name: String, reader: TomlReader): TableChange =
        TableChange.PutAccount(
            Account(
                id = AccountId(name),
                rate = reader.long("rate", null, tokensRange),
                burst = reader.long("burst", null, tokensRange),
            ),
        )

    private fun readPool(name: String, reader: TomlReader): TableChange =
        TableChange.PutPool(
            Pool(
                name = PoolName(name),
                kind = reader.choice("kind", UpstreamKind.ENGINE, UpstreamKind.entries),
                upstreams = reader.strings("upstreams").map(::UpstreamPattern).toPersistentList(),
            ),
        )

    private fun readRoute(name: String, reader: TomlReader): TableChange {
        val adapter = reader.optionalString("adapter")
        val version = if (adapter == null) reader.optionalString("version") else reader.string("version")
        return TableChange.PutRoute(
            Route(
                name = RouteName(name),
                pool = PoolName(reader.string("pool")),
                adapter = if (adapter == null || version == null) null else AdapterRef(adapter, version),
                accounts = reader.strings("accounts").map(::AccountId).toPersistentSet(),
                allowsAnonymous = reader.optionalBoolean("open") ?: false,
                isIdempotent = reader.optionalBoolean("idempotent"),
            ),
        )
    }
}
