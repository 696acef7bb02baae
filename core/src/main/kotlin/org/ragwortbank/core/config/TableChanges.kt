package org.ragwortbank.core.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.model.Configuration

/** Returns this configuration with [change] applied, at the same version. */
fun Configuration.with(change: TableChange): Configuration =
    when (change) {
        is TableChange.PutRoute -> copy(routes = routes.put(change.route.name, change.route))
        is TableChange.RemoveRoute -> copy(routes = routes.remove(change.name))
        is TableChange.PutPool -> copy(pools = pools.put(change.pool.name, change.pool))
        is TableChange.RemovePool -> copy(pools = pools.remove(change.name))
        is TableChange.PutAccount -> copy(accounts = accounts.put(change.account.id, change.account))
        is TableChange.RemoveAccount -> copy(accounts = accounts.remove(change.id))
        is TableChange.IssueKey -> copy(keys = keys.put(change.key.hash, change.key))
        is TableChange.RevokeKey -> copy(keys = keys.remove(change.hash))
    }

/**
 * Returns the changes that turn [current] into [declared], in the order accounts, pools, routes.
 *
 * Keys are not declared in files, so they yield no change.
 */
fun changesBetween(current: Configuration, declared: Configuration): ImmutableList<TableChange> {
    val accounts = rowChanges(current.accounts, declared.accounts, TableChange::PutAccount, TableChange::RemoveAccount)
    val pools = rowChanges(current.pools, declared.pools, TableChange::PutPool, TableChange::RemovePool)
    val routes = rowChanges(current.routes, declared.routes, TableChange::PutRoute, TableChange::RemoveRoute)
    return (accounts + pools + routes).toPersistentList()
}

private fun <K, V> rowChanges(
    current: PersistentMap<K, V>,
    declared: PersistentMap<K, V>,
    put: (V) -> TableChange,
    remove: (K) -> TableChange,
): List<TableChange> {
    val changed = declared.filter { (key, row) -> current[key] != row }.values.map(put)
    val removed = current.keys.filter { it !in declared }.map(remove)
    return changed + removed
}
