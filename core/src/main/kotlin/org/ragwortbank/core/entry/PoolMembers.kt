package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.PoolName

internal val NO_INSTANCES: PersistentSet<Instance> = persistentSetOf()

/** Names of the upstreams of each pool, according to the pools table and the instance list. */
internal fun membersOfPools(tables: EntryTables): PersistentMap<PoolName, PersistentList<InstanceName>> =
    tables.configuration.pools.values
        .associate { pool -> pool.name to tables.upstreams.keys.filter(pool::contains).toPersistentList() }
        .toPersistentMap()
