package org.ragwortbank.cli.tables

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.cli.toml.Checked
import org.ragwortbank.cli.toml.TomlContent
import org.ragwortbank.cli.toml.TomlFile
import org.ragwortbank.cli.toml.TomlReader
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

/** Reads the operators' table files. */
object TablesFile {
    /** The tables that [routes] and [pools] declare; keys are not declared in files. */
    fun read(routes: Path, pools: Path): Checked<Configuration> {
        val contents = listOf(TomlFile.read(routes), TomlFile.read(pools))
        val unreadable = contents.filterIsInstance<TomlContent.Bad>().map { it.problem.toString() }
        val tables = contents.filterIsInstance<TomlContent.Good>().map { it.table }
        return when {
            unreadable.isNotEmpty() -> Checked.Bad(unreadable)
            else -> check(TomlReader(routes.toString(), tables.first()), TomlReader(pools.toString(), tables.last()))
        }
    }

    private fun check(routes: TomlReader, pools: TomlReader): Checked<Configuration> {
        val changes = pools.section("accounts") { rows(it, ::account) } +
            pools.section("pools") { rows(it, ::pool) } +
            routes.section("routes") { rows(it, ::route) }
        val declared = changes.fold(Configuration()) { tables, change -> tables.with(change) }
        val inFiles = (routes.finish() + pools.finish()).map { it.toString() }
        val problems = inFiles.ifEmpty { checkConfiguration(declared).map { it.toString() } }
        return if (problems.isEmpty()) Checked.Good(declared) else Checked.Bad(problems)
    }

    private fun rows(reader: TomlReader, row: (String, TomlReader) -> TableChange): List<TableChange> =
        reader.names.sorted().map { name -> reader.section(name) { row(name, it) } }

    private fun account(name: String, reader: TomlReader): TableChange =
        TableChange.PutAccount(
            Account(
                id = AccountId(name),
                rate = reader.long("rate", null, tokensRange),
                burst = reader.long("burst", null, tokensRange),
            ),
        )

    private fun pool(name: String, reader: TomlReader): TableChange =
        TableChange.PutPool(
            Pool(
                name = PoolName(name),
                kind = reader.choice("kind", UpstreamKind.ENGINE, UpstreamKind.entries),
                upstreams = reader.strings("upstreams").map(::UpstreamPattern).toPersistentList(),
            ),
        )

    private fun route(name: String, reader: TomlReader): TableChange {
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
