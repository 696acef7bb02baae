package org.ragwortbank.core.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.Pool
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.UpstreamKind

private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
private val upstreamPattern = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}\\*?")

/** All mistakes in [configuration]; an empty list means that it may be put in force. */
fun checkConfiguration(configuration: Configuration): ImmutableList<ConfigProblem> {
    val accounts = configuration.accounts.values.flatMap(::checkAccount)
    val pools = configuration.pools.values.flatMap(::checkPool)
    val routes = configuration.routes.values.flatMap { checkRoute(configuration, it) }
    val keys = configuration.keys.values.mapNotNull { accountProblem(configuration, "keys.${it.hash}", it.account) }
    return (accounts + pools + routes + keys).toPersistentList()
}

private fun checkAccount(account: Account): List<ConfigProblem> {
    val path = "accounts.${account.id}"
    return listOfNotNull(
        nameProblem(path, account.id.value),
        positiveProblem("$path.rate", account.rate),
        positiveProblem("$path.burst", account.burst),
    )
}

private fun checkPool(pool: Pool): List<ConfigProblem> {
    val path = "pools.${pool.name}"
    val none = problemIf(pool.upstreams.isEmpty(), "$path.upstreams", "an empty list", "at least one upstream")
    val patterns = pool.upstreams.mapNotNull { pattern ->
        val wrong = !upstreamPattern.matches(pattern.value)
        problemIf(wrong, "$path.upstreams", "'$pattern'", "an instance name, or its beginning followed by '*'")
    }
    return listOfNotNull(nameProblem(path, pool.name.value), none) + patterns
}

private fun checkRoute(configuration: Configuration, route: Route): List<ConfigProblem> {
    val path = "routes.${route.name}"
    val pool = configuration.pools[route.pool]
    val missing = problemIf(pool == null, "$path.pool", "'${route.pool}'", "the name of a pool in the pools table")
    val accounts = route.accounts.mapNotNull { accountProblem(configuration, "$path.accounts", it) }
    return listOfNotNull(nameProblem(path, route.name.value), missing, reachProblem(path, route)) +
        accounts + listOfNotNull(pool?.let { adapterProblem(path, route, it) })
}

private fun accountProblem(configuration: Configuration, path: String, id: AccountId): ConfigProblem? =
    problemIf(id !in configuration.accounts, path, "'$id'", "an account of the pools file")

private fun reachProblem(path: String, route: Route): ConfigProblem? {
    val unreachable = !route.allowsAnonymous && route.accounts.isEmpty()
    return problemIf(unreachable, "$path.accounts", "no account", "at least one account, or open = true")
}

private fun adapterProblem(path: String, route: Route, pool: Pool): ConfigProblem? =
    when (pool.kind) {
        UpstreamKind.ENGINE ->
            problemIf(route.adapter == null, "$path.adapter", "nothing", "an adapter for the engines of '${pool.name}'")
        UpstreamKind.SERVICE ->
            problemIf(route.adapter != null, "$path.adapter", "'${route.adapter}'", "no adapter for a plain service")
    }

private fun nameProblem(path: String, name: String): ConfigProblem? =
    problemIf(!namePattern.matches(name), path, "'$name'", "1 to 128 letters, digits or '.', '_', ':', '-'")

private fun positiveProblem(path: String, value: Long): ConfigProblem? =
    problemIf(value <= 0 || value > MAX_TOKENS, path, value.toString(), "a whole number from 1 to $MAX_TOKENS")

private fun problemIf(wrong: Boolean, path: String, found: String, expected: String): ConfigProblem? =
    if (wrong) ConfigProblem(path, found, expected) else null

/** Highest rate in tokens per second and highest burst in tokens; above it the bucket arithmetic could overflow. */
private const val MAX_TOKENS = 1_000_000_000L
