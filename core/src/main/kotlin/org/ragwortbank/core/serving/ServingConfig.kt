package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.KeyHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A client account as configured.
 *
 * @property priority rank that goes before the route's; null when the account has none
 * @property tokensPerSecond tokens per second over the whole fleet; 0 for no limit
 * @property burstTokens tokens that may be used at once
 * @property defaultRequestTokens what a request counts that tells no tokens
 */
data class ServingAccount(
    val id: AccountId,
    val priority: Int?,
    val tokensPerSecond: Long,
    val burstTokens: Long,
    val defaultRequestTokens: Long,
) {
    /** Whether the account's use is limited. */
    val isRateLimited: Boolean get() = tokensPerSecond > 0
}

/** What a client may send, and how long it may take. */
data class ClientLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
)

/**
 * One version of the operators' configuration.
 *
 * @property routes the routes of each host, those with the longest prefix first
 */
data class ServingConfig(
    val version: Long = 0,
    val routes: PersistentMap<String, PersistentList<ServingRoute>> = persistentMapOf(),
    val services: PersistentMap<ServiceName, ServiceSpec> = persistentMapOf(),
    val accounts: PersistentMap<AccountId, ServingAccount> = persistentMapOf(),
    val accountsByKey: PersistentMap<KeyHash, AccountId> = persistentMapOf(),
    val limits: ClientLimits = ClientLimits(),
) {
    /** Whether requests need keys on routes that are not public. */
    val requiresKeys: Boolean get() = accounts.isNotEmpty()

    /** The route for [path] on [host]; null when there is none. */
    fun route(host: String, path: String): ServingRoute? =
        routes[host]?.firstOrNull { path.startsWith(it.prefix) }
}
