package org.ragwortbank.core.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.Pool
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.UpstreamKind

private val nameRegex = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
private val upstreamPatternRegex = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}\\*?")

/** Returns all problems of [configuration]; it may be applied only if there are none. */
fun checkConfiguration(configuration: Configuration): ImmutableList<ConfigProblem> {
    val accountProblems = configuration.accounts.values.flatMap(::checkAccount)
    val poolProblems = configuration.pools.values.flatMap(::checkPool)
    val routeProblems = configuration.routes.values.flatMap { checkRoute(configuration, it) }
    val keyProblems =
        configuration.keys.values.mapNotNull { accountProblem(configuration, "keys.${it.hash}", it.account) }
    return (accountProblems + poolProblems + routeProblems + keyProblems).toPersistentList()
}

private fun checkAccount(account: Account): List<ConfigProblem> {
    val path = "accounts.${account.id}"
    return listOfNotNull(
        nameProblem(path, account.id.value),
        tokenCountProblem("$path.rate", account.rate),
        tokenCountProblem("$path.burst", account.burst),
    )
}

private fun checkPool(pool: Pool): List<ConfigProblem> {
    val path = "pools.${pool.name}"
    val emptyProblem = problemIf(pool.upstreams.isEmpty(), "$path.upstreams", "an empty list", "at least one upstream")
    val patternProblems = pool.upstreams.mapNotNull { pattern ->
        val isInvalid = !upstreamPatternRegex.matches(pattern.value)
        problemIf(isInvalid, "$path.upstreams", "'$pattern'", "an instance name, or a prefix of one followed by '*'")
    }
    return listOfNotNull(nameProblem(path, pool.name.value), emptyProblem) + patternProblems
}

private fun checkRoute(configuration: Configuration, route: Route): List<ConfigProblem> {
    val path = "routes.${route.name}"
    val pool = configuration.pools[route.pool]
    val poolProblem = problemIf(pool == null, "$path.pool", "'${route.pool}'", "the name of a pool in the pools table")
    val accountProblems = route.accounts.mapNotNull { accountProblem(configuration, "$path.accounts", it) }
    return listOfNotNull(nameProblem(path, route.name.value), poolProblem, accessProblem(path, route)) +
        accountProblems + listOfNotNull(pool?.let { adapterProblem(path, route, it) })
}

private fun accountProblem(configuration: Configuration, path: String, id: AccountId): ConfigProblem? =
    problemIf(id !in configuration.accounts, path, "'$id'", "an account of the pools file")

private fun accessProblem(path: String, route: Route): ConfigProblem? {
    val isInaccessible = !route.allowsAnonymous && route.accounts.isEmpty()
    return problemIf(isInaccessible, "$path.accounts", "no account", "at least one account, or open = true")
}

private fun adapterProblem(path: String, route: Route, pool: Pool): ConfigProblem? =
    when (pool.kind) {
        UpstreamKind.ENGINE ->
            problemIf(route.adapter == null, "$path.adapter", "nothing", "an adapter for the engines of '${pool.name}'")
        UpstreamKind.SERVICE ->
            problemIf(route.adapter != null, "$path.adapter", "'${route.adapter}'", "no adapter for a plain service")
    }

private fun nameProblem(path: String, name: String): ConfigProblem? =
    problemIf(
        !nameRegex.matches(name),
        path,
        "'$name'",
        "1 to 128 letters, digits or '.', '_', ':', '-', of which the first is a letter or digit",
    )

private fun tokenCountProblem(path: String, value: Long): ConfigProblem? =
    problemIf(value <= 0 || value > MAX_TOKENS, path, value.toString(), "a whole number from 1 to $MAX_TOKENS")

private fun problemIf(isInvalid: Boolean, path: String, found: String, expected: String): ConfigProblem? =
    if (isInvalid) ConfigProblem(path, found, expected) else null

/** Highest rate in tokens per second and highest burst in tokens; above it, the bucket arithmetic could overflow. */
private const val MAX_TOKENS = 1_000_000_000L
