package org.ragwortbank.cli.command

import org.ragwortbank.core.config.TableChange
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.Pool
import org.ragwortbank.core.model.Route

/** Formats each change to [stored] as one line: `+` adds, `~` replaces, `-` removes a row. */
internal fun changeLines(stored: Configuration, changes: List<TableChange>): List<String> =
    changes.map { changeLine(stored, it) }

private fun changeLine(stored: Configuration, change: TableChange): String =
    when (change) {
        is TableChange.PutRoute ->
            putLine(change.path, stored.routes[change.route.name]?.displayText(), change.route.displayText())
        is TableChange.PutPool ->
            putLine(change.path, stored.pools[change.pool.name]?.displayText(), change.pool.displayText())
        is TableChange.PutAccount ->
            putLine(change.path, stored.accounts[change.account.id]?.displayText(), change.account.displayText())
        is TableChange.IssueKey -> putLine(change.path, null, "account ${change.key.account}")
        is TableChange.RemoveRoute,
        is TableChange.RemovePool,
        is TableChange.RemoveAccount,
        is TableChange.RevokeKey,
        -> "- ${change.path}"
    }

private fun putLine(path: String, before: String?, after: String): String =
    if (before == null) "+ $path: $after" else "~ $path: $before => $after"

/** The route as one line. */
internal fun Route.displayText(): String =
    listOfNotNull(
        "pool $pool",
        adapter?.let { "adapter ${it.name} version ${it.version}" },
        if (accounts.isEmpty()) null else "accounts ${accounts.map { it.value }.sorted().joinToString(" ")}",
        if (allowsAnonymous) "open" else null,
        isIdempotent?.let { if (it) "idempotent" else "not idempotent" },
    ).joinToString(", ")

/** The pool as one line. */
internal fun Pool.displayText(): String = "${kind.name.lowercase()}, upstreams ${upstreams.joinToString(" ")}"

/** The account's rate and burst as one line. */
internal fun Account.displayText(): String = "$rate tokens/s, burst $burst"
