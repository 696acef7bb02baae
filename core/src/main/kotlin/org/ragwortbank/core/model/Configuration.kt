package org.ragwortbank.core.model

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The operators' tables at one [version]; versions only increase. */
data class Configuration(
    val version: Long = 0,
    val routes: PersistentMap<RouteName, Route> = persistentMapOf(),
    val pools: PersistentMap<PoolName, Pool> = persistentMapOf(),
    val accounts: PersistentMap<AccountId, Account> = persistentMapOf(),
    val keys: PersistentMap<KeyHash, AccountKey> = persistentMapOf(),
)
