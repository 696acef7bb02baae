package org.ragwortbank.core.model

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet

/** Builds a [Configuration], one row at a time. */
class ConfigurationBuilder internal constructor(private var result: Configuration) {
    /** Adds a pool of [kind] with the upstreams that match one of the patterns [upstreams]. */
    fun pool(name: String, kind: UpstreamKind, vararg upstreams: String) {
        val patterns = upstreams.map(::UpstreamPattern).toPersistentList()
        val pool = Pool(PoolName(name), kind, patterns)
        result = result.copy(pools = result.pools.put(pool.name, pool))
    }

    /** Adds an account with [rate] tokens per second and a burst of [burst] tokens. */
    fun account(name: String, rate: Long, burst: Long) {
        val account = Account(AccountId(name), rate, burst)
        result = result.copy(accounts = result.accounts.put(account.id, account))
    }

    /** Adds a route to an adapter version, for [accounts]. */
    fun route(name: String, pool: String, adapter: AdapterRef, vararg accounts: String) {
        add(Route(RouteName(name), PoolName(pool), adapter, accounts.map(::AccountId).toPersistentSet()))
    }

    /** Adds a route to a plain service, for [accounts]. */
    fun service(name: String, pool: String, vararg accounts: String) {
        add(Route(RouteName(name), PoolName(pool), accounts = accounts.map(::AccountId).toPersistentSet()))
    }

    /** Adds [route]. */
    fun add(route: Route) {
        result = result.copy(routes = result.routes.put(route.name, route))
    }

    /** Adds the key with [hash], issued to [account]. */
    fun key(hash: KeyHash, account: String) {
        result = result.copy(keys = result.keys.put(hash, AccountKey(hash, AccountId(account))))
    }

    internal fun build(): Configuration = result
}

/** Builds a configuration of the given [version]. */
fun configuration(version: Long, block: ConfigurationBuilder.() -> Unit): Configuration =
    ConfigurationBuilder(Configuration(version)).apply(block).build()
