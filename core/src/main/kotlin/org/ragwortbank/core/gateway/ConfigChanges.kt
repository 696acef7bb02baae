package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.tick.Timestamp

private const val MAX_LOGGED_RATES = 24

/** Consumption before a restart is unknown, and all gateways may have restarted, each with this share. */
private const val BURST_SHARE_AFTER_RESTART = 0.25

/** Applies [config] unless this or a newer version is in force. */
internal fun GatewayStep.applyConfig(config: ServingConfig, now: Timestamp): GatewayStep {
    val existing = tables.config
    if (existing != null && existing.version >= config.version) return this
    val previous = existing?.version ?: "none"
    val rates = describeRates(config)
    val source = "read from the store at ${tables.storePosition}"
    return log(LogPart.CONFIG, "configuration ${config.version} in force, $source, previous $previous, rates $rates")
        .update { it.copy(config = config, buckets = bucketsFor(it, config, now)) }
}

/** Notes whether [stored], the configuration in the store, is the one in force: an older one confirms nothing. */
internal fun GatewayStep.compareWithStored(stored: ServingConfig): GatewayStep {
    val isNewest = tables.config?.version == stored.version
    val noted = if (isNewest || !tables.isConfigNewest) this else log(LogPart.CONFIG, describeOlder(stored))
    return noted.update { it.copy(isConfigNewest = isNewest) }
}

private fun GatewayStep.describeOlder(stored: ServingConfig): String =
    "the store has configuration ${stored.version} at ${tables.storePosition}, " +
        "which doesn't confirm the newer ${tables.config?.version} in force"

/** Notes that the store has no configuration that can be read; the one in force isn't confirmed until it has one. */
internal fun GatewayStep.doubtConfig(): GatewayStep =
    log(LogPart.CONFIG, describeUnreadable()).update { it.copy(isConfigNewest = false) }

private fun GatewayStep.describeUnreadable(): String =
    "the store has no configuration that can be read at ${tables.storePosition}, " +
        "${tables.config?.version ?: "none"} in force"

/** Records the newest version of an adapter; an older one changes nothing. */
internal fun GatewayTables.recordVersion(change: StoreChange.NewestVersionSet, now: Timestamp): GatewayTables {
    val existing = versions[change.adapter]
    if (existing != null && existing.version >= change.version) return this
    val newest = NewestVersion(change.version, now, previous = existing?.version ?: 0)
    return copy(versions = versions.put(change.adapter, newest))
}

private fun describeRates(config: ServingConfig): String =
    config.accounts.values.take(MAX_LOGGED_RATES).joinToString { "${it.id} ${it.tokensPerSecond}+${it.burstTokens}" }

/**
 * Buckets of the limited accounts under [config]. A new bucket starts full only if nothing can have been consumed: at
 * the first start of the whole system, or for an account that is added while this process runs.
 */
private fun bucketsFor(
    tables: GatewayTables,
    config: ServingConfig,
    now: Timestamp,
): PersistentMap<AccountId, FleetBucket> {
    val limitedAccounts = config.accounts.values.filter { it.isRateLimited }
    val startsFull = tables.identity.isFirstStart || tables.config != null
    return limitedAccounts.associate { account ->
        val initialLevel =
            if (startsFull) account.burstTokens.toDouble() else account.burstTokens * BURST_SHARE_AFTER_RESTART
        val existing = tables.buckets[account.id]?.withLimits(account)
        account.id to (existing ?: FleetBucket(account.tokensPerSecond, account.burstTokens, initialLevel, now))
    }.toPersistentMap()
}
