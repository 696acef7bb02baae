package org.ragwortbank.core.model

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * A row of the routes table: which client accounts may use which adapter version in which pool.
 *
 * @property adapter the adapter version that serves the route; null for a route to a plain service
 * @property allowsAnonymous whether callers without a key may use the route, charged to [Account.ANONYMOUS]
 * @property isIdempotent whether the system may repeat a request; null leaves it to the request
 */
data class Route(
    val name: RouteName,
    val pool: PoolName,
    val adapter: AdapterRef? = null,
    val accounts: PersistentSet<AccountId> = persistentSetOf(),
    val allowsAnonymous: Boolean = false,
    val isIdempotent: Boolean? = null,
)
