package org.ragwortbank.core.storecopy

import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.seconds

/** Time after which a version counts no more that no gateway names again; several digests of a large fleet fit in. */
private val NAMED_LIFETIME = 30.seconds

/** Notes that another gateway has [version] of the configuration. */
internal fun GatewayTables.noteNamedConfig(version: Long, now: Timestamp): GatewayTables {
    val known = namedConfig?.takeIf { now - it.lastNamedAt <= NAMED_LIFETIME }
    return when {
        version > (known?.version ?: 0) -> copy(namedConfig = NamedConfig(version, now))
        known != null && version == known.version -> copy(namedConfig = known.copy(lastNamedAt = now))
        else -> this
    }
}

/**
 * Notes whether the store lacks a configuration that another gateway had named before [requestedAt], when the answer
 * was requested that was read last. The store had it, so it came back from an older copy: the configuration in force
 * here isn't the newest, and what the store has confirmed doesn't count.
 */
internal fun GatewayStep.checkConfig(requestedAt: Timestamp): GatewayStep {
    val isNamed = tables.namedConfig?.let { requestedAt - it.lastNamedAt <= NAMED_LIFETIME } ?: false
    val isDoubted = tables.isConfigOutdated || tables.isNamedBefore(requestedAt)
    val isOutdated = isNamed && tables.lacksNamedConfig && isDoubted
    if (isOutdated == tables.isConfigOutdated) return this
    val described = if (isOutdated) "is outdated: another gateway has" else "is in force, no longer outdated by"
    return log(LogPart.CONFIG, "configuration ${tables.config?.version} $described ${tables.namedConfig?.version}")
        .update { it.copy(isConfigOutdated = isOutdated, confirmedAt = it.confirmedAt.takeIf { !isOutdated }) }
}

private val GatewayTables.lacksNamedConfig: Boolean
    get() = config != null && namedConfig != null && namedConfig.version > config.version

private fun GatewayTables.isNamedBefore(requestedAt: Timestamp): Boolean =
    namedConfig != null && requestedAt > namedConfig.namedAt
