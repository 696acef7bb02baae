package org.ragwortbank.clients.config

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AccountKey
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.Pool
import org.ragwortbank.core.model.PoolName
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.model.UpstreamPattern

internal fun Route.toRow(): RouteRow =
    RouteRow(
        name = name.value,
        pool = pool.value,
        adapter = adapter?.name,
        version = adapter?.version,
        accounts = accounts.map { it.value }.sorted(),
        open = allowsAnonymous,
        idempotent = isIdempotent,
    )

internal fun RouteRow.toRoute(): Route =
    Route(
        name = RouteName(name),
        pool = PoolName(pool),
        adapter = if (adapter == null || version == null) null else AdapterRef(adapter, version),
        accounts = accounts.map(::AccountId).toPersistentSet(),
        allowsAnonymous = open,
        isIdempotent = idempotent,
    )

internal fun Pool.toRow(): PoolRow = PoolRow(name.value, kind.name, upstreams.map { it.value })

internal fun PoolRow.toPool(): Pool =
    Pool(PoolName(name), UpstreamKind.valueOf(kind), upstreams.map(::UpstreamPattern).toPersistentList())

internal fun Account.toRow(): AccountRow = AccountRow(id.value, rate, burst)

internal fun AccountRow.toAccount(): Account = Account(AccountId(name), rate, burst)

internal fun AccountKey.toRow(): KeyRow = KeyRow(hash.hex, account.value)

internal fun KeyRow.toAccountKey(): AccountKey = AccountKey(KeyHash(hash), AccountId(account))

/** The configuration that [chunks] make up. */
internal fun configurationOf(version: Long, chunks: Collection<Chunk>): Configuration {
    val routes = chunks.flatMap { it.routes }.map { it.toRoute() }
    val pools = chunks.flatMap { it.pools }.map { it.toPool() }
    val accounts = chunks.flatMap { it.accounts }.map { it.toAccount() }
    val keys = chunks.flatMap { it.keys }.map { it.toAccountKey() }
    val empty = Configuration(version)
    return empty.copy(
        routes = empty.routes.putAll(routes.associateBy { it.name }),
        pools = empty.pools.putAll(pools.associateBy { it.name }),
        accounts = empty.accounts.putAll(accounts.associateBy { it.id }),
        keys = empty.keys.putAll(keys.associateBy { it.hash }),
    )
}
