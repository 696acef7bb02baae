package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.Region
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A client account as configured.
 *
 * @property priority rank that overrides the route's; null when the account has none
 * @property tokensPerSecond rate limit over the whole fleet; 0 for no limit
 * @property burstTokens size of the account's token bucket
 * @property defaultRequestTokens tokens charged for a request that doesn't state its own
 * @property homes regions whose upstreams may serve its requests; null for any
 * @property hasReadableLimits whether its rate, burst and charge are known; its requests are refused if they aren't
 */
data class ServingAccount(
    val id: AccountId,
    val priority: Int?,
    val tokensPerSecond: Long,
    val burstTokens: Long,
    val defaultRequestTokens: Long,
    val homes: PersistentSet<Region>? = null,
    val hasReadableLimits: Boolean = true,
) {
    val isRateLimited: Boolean get() = tokensPerSecond > 0
}

/** Size and time limits on what a client sends. */
data class ClientLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
)

/**
 * One version of the operators' configuration.
 *
 * @property routes the routes of each host, longest prefix first
 * @property accountsByKey the account that each API key's hash belongs to
 * @property requiresKeys whether routes that are not public require an API key, also when no account has one
 */
data class ServingConfig(
    val version: Long = 0,
    val routes: PersistentMap<String, PersistentList<ServingRoute>> = persistentMapOf(),
    val services: PersistentMap<ServiceName, ServiceSpec> = persistentMapOf(),
    val accounts: PersistentMap<AccountId, ServingAccount> = persistentMapOf(),
    val accountsByKey: PersistentMap<KeyHash, AccountId> = persistentMapOf(),
    val limits: ClientLimits = ClientLimits(),
    val requiresKeys: Boolean = true,
) {
    /** What the routes to each service ask of its upstreams. */
    val demands: PersistentMap<ServiceName, ServiceDemands> by lazy(LazyThreadSafetyMode.PUBLICATION) {
        routes.values.flatten().fold(persistentMapOf()) { found, route ->
            route.targets.fold(found) { updated, target ->
                updated.put(target.service, (updated[target.service] ?: ServiceDemands()) + route)
            }
        }
    }

    /** The route with the longest prefix that matches [path] on [host]; null when there is none. */
    fun route(host: String, path: String): ServingRoute? =
        routes[host]?.firstOrNull { path.startsWith(it.prefix) }
}
