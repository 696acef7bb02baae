package org.ragwortbank.core.model

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The operators' tables as of one [version], which only grows. */
data class Configuration(
    val version: Long = 0,
    val routes: PersistentMap<RouteName, Route> = persistentMapOf(),
    val pools: PersistentMap<PoolName, Pool> = persistentMapOf(),
    val accounts: PersistentMap<AccountId, Account> = persistentMapOf(),
    val keys: PersistentMap<KeyHash, AccountKey> = persistentMapOf(),
)
