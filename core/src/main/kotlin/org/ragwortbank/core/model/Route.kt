package org.ragwortbank.core.model

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * A row of the routes table: which client accounts may reach which adapter version in which pool.
 *
 * @property adapter the adapter version that answers; null for a route to a plain service
 * @property allowsAnonymous whether callers without a key may use the route, charged to [AccountId] `anonymous`
 * @property idempotent whether a request may be repeated by the system; null leaves it to the request
 */
data class Route(
    val name: RouteName,
    val pool: PoolName,
    val adapter: AdapterRef? = null,
    val accounts: PersistentSet<AccountId> = persistentSetOf(),
    val allowsAnonymous: Boolean = false,
    val idempotent: Boolean? = null,
)
