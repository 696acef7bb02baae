package org.ragwortbank.cli.command

import org.ragwortbank.core.config.TableChange
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.Pool
import org.ragwortbank.core.model.Route

/** One readable line per change against [present]: `+` adds, `~` replaces, `-` removes. */
internal fun changeLines(present: Configuration, changes: List<TableChange>): List<String> =
    changes.map { changeLine(present, it) }

private fun changeLine(present: Configuration, change: TableChange): String =
    when (change) {
        is TableChange.PutRoute -> put(change.path, present.routes[change.route.name]?.text(), change.route.text())
        is TableChange.PutPool -> put(change.path, present.pools[change.pool.name]?.text(), change.pool.text())
        is TableChange.PutAccount ->
            put(change.path, present.accounts[change.account.id]?.text(), change.account.text())
        is TableChange.IssueKey -> put(change.path, null, "account ${change.key.account}")
        is TableChange.RemoveRoute,
        is TableChange.RemovePool,
        is TableChange.RemoveAccount,
        is TableChange.RevokeKey,
        -> "- ${change.path}"
    }

private fun put(path: String, before: String?, after: String): String =
    if (before == null) "+ $path: $after" else "~ $path: $before => $after"

/** The row as one line. */
internal fun Route.text(): String =
    listOfNotNull(
        "pool $pool",
        adapter?.let { "adapter ${it.name} version ${it.version}" },
        if (accounts.isEmpty()) null else "accounts ${accounts.map { it.value }.sorted().joinToString(" ")}",
        if (allowsAnonymous) "open" else null,
        isIdempotent?.let { if (it) "idempotent" else "not idempotent" },
    ).joinToString(", ")

/** The row as one line. */
internal fun Pool.text(): String = "${kind.name.lowercase()}, upstreams ${upstreams.joinToString(" ")}"

/** The row as one line. */
internal fun Account.text(): String = "$rate tokens/s, burst $burst"
