package org.ragwortbank.cli.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.address
import org.ragwortbank.cli.toml.duration
import org.ragwortbank.cli.toml.int
import org.ragwortbank.cli.toml.number
import org.ragwortbank.cli.toml.optionalBoolean
import org.ragwortbank.cli.toml.optionalBytes
import org.ragwortbank.cli.toml.string
import org.ragwortbank.cli.toml.stringContent
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.admission.RateTolerance
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.Region
import org.ragwortbank.core.pressure.PressureLimits
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.node.log.LogFormat
import org.ragwortbank.node.settings.GatewayNodeSettings
import org.ragwortbank.node.settings.PlacerNodeSettings
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_PORT = 65_535
private const val MAX_RETRY_SLACK = 1_000_000.0
private const val MAX_RETRY_PERCENT = 1_000
private const val MAX_COLD_OVERAGE = 100.0
private const val MAX_COLD_SLACK = 10_000.0
private const val MAX_RATE_OVERAGE = 10.0
private const val MAX_RATE_SLACK = 1_000_000_000.0
private const val HUNDRED_PERCENT = 100.0
private val portRange = 1..MAX_PORT
private val retrySlackRange = 0.0..MAX_RETRY_SLACK
private val rateOverageRange = 0.0..MAX_RATE_OVERAGE
private val rateSlackRange = 0.0..MAX_RATE_SLACK
private val retryPercentRange = 0..MAX_RETRY_PERCENT
private val retryRatioRange = 0.0..MAX_RETRY_PERCENT / HUNDRED_PERCENT
private val coldOverageRange = 0.0..MAX_COLD_OVERAGE
private val coldSlackRange = 0.0..MAX_COLD_SLACK

/** Part of the `key_withdrawal` bound left for processing after a decision; the rest is the configuration lease. */
private val KEY_REVOCATION_MARGIN = 200.milliseconds

/** Part of the shortest of the bounds on changes in the store that may pass before the store is read. */
private const val READ_DELAY_SHARE = 0.375

/** Reads the settings of a gateway; [inForce] has the bounds that stand for those that can't be read. */
internal fun readGatewayNodeSettings(
    reader: TomlReader,
    inForce: GatewaySettings = GatewaySettings(),
): GatewayNodeSettings {
    val anyLoopbackPort = Address("127.0.0.1", 0)
    return GatewayNodeSettings(
        name = reader.string("name"),
        failureDomain = reader.string("domain", "default"),
        httpAddress = reader.address("http_address", anyLoopbackPort),
        readinessAddress = reader.address("ready_address", anyLoopbackPort),
        adminAddress = reader.address("admin_address", anyLoopbackPort),
        digestAddress = reader.address("digest_address", anyLoopbackPort),
        placerDigestPort = reader.int("placer_port", DEFAULT_PLACER_PORT, portRange),
        storeAddress = reader.address("store_address", default = null),
        isFirstStart = reader.optionalBoolean("first_start") ?: false,
        connectTimeout = reader.duration("connect_timeout", DEFAULT_CONNECT_TIMEOUT),
        gateway = reader.optionalSection("bounds") { readGatewaySettings(it, inForce) }
            .copy(
                features = reader.section("features") { readFeatures(it, inForce.features) },
                regions = reader.optionalSection("regions") { readRegions(it, inForce.regions) },
                pressure = reader.optionalSection("limits") { readPressureLimits(it, inForce.pressure) },
            ),
        logLevel = reader.section("log") { readLogLevel(it, LogFormat.JSON) },
        logFormat = reader.section("log") { readLogFormat(it, LogFormat.JSON) },
    )
}

internal fun readPlacerNodeSettings(reader: TomlReader): PlacerNodeSettings {
    val anyLoopbackPort = Address("127.0.0.1", 0)
    return PlacerNodeSettings(
        name = reader.string("name"),
        adminAddress = reader.address("admin_address", anyLoopbackPort),
        digestAddress = reader.address("digest_address", anyLoopbackPort),
        engineAddress = reader.address("engine_address", default = null),
        logLevel = reader.section("log") { readLogLevel(it, LogFormat.JSON) },
        logFormat = reader.section("log") { readLogFormat(it, LogFormat.JSON) },
    )
}

/** Reads the features that are set to true; names that this build doesn't know are ignored, no names change nothing. */
private fun readFeatures(reader: TomlReader, inForce: PersistentSet<Feature>): PersistentSet<Feature> {
    if (reader.names.isEmpty()) return inForce
    val features = Feature.entries.filter { reader.optionalBoolean(it.label) ?: false }.toPersistentSet()
    reader.names.forEach { reader.isGiven(it) }
    val needsPace = Feature.PLACES in features || Feature.PRESSURE in features
    return if (needsPace) features.add(Feature.PACE) else features
}

/**
 * Reads the region of each failure domain; a name that can't be read is reported, and its domain is in no region. No
 * names change nothing.
 */
private fun readRegions(
    reader: TomlReader,
    inForce: PersistentMap<FailureDomain, Region>,
): PersistentMap<FailureDomain, Region> {
    if (reader.names.isEmpty()) return inForce
    return reader.names
        .mapNotNull { domain ->
            reader.value(domain, default = "", "the name of a region", ::stringContent)
                ?.takeIf { it.isNotEmpty() }
                ?.let { FailureDomain(domain) to Region(it) }
        }
        .toMap()
        .toPersistentMap()
}

/** Derives what is held for slow readers from the memory that the process may use. */
private fun readPressureLimits(reader: TomlReader, inForce: PressureLimits): PressureLimits =
    reader.optionalBytes("memory")?.let { PressureLimits.of(it, Runtime.getRuntime().maxMemory()) } ?: inForce

/** Reads the bounds that operators set and derives the gateway's internal limits from them. */
private fun readGatewaySettings(reader: TomlReader, defaults: GatewaySettings): GatewaySettings {
    val keyRevocationBound = reader.duration("key_withdrawal", defaults.configurationLease + KEY_REVOCATION_MARGIN)
    val defaultVersionBound = defaults.previousVersionLifetime * 2 + defaults.storeReadDelay
    val versionSwitchBound = reader.duration("adapter_version", defaultVersionBound)
    val stopGrace = reader.duration("stop_grace", defaults.drainTimeout + STOP_GRACE_MARGIN)
    val storeBound = defaults.storeReadDelay / READ_DELAY_SHARE
    val configurationBound = reader.duration("configuration", storeBound)
    val leavingUpstreamBound = reader.duration("leaving_upstream", storeBound)
    val evacuationBound = reader.duration("evacuation", minOf(configurationBound, leavingUpstreamBound))
    val storeReadDelay = minOf(configurationBound, leavingUpstreamBound, evacuationBound) * READ_DELAY_SHARE
    val rateWindow = reader.duration("rate_window", defaults.rateWindow)
    return defaults.copy(
        configurationLease = keyRevocationBound - KEY_REVOCATION_MARGIN,
        previousVersionLifetime = ((versionSwitchBound - storeReadDelay) / 2).coerceAtLeast(Duration.ZERO),
        drainTimeout = stopGrace - STOP_GRACE_MARGIN,
        retryRatio = readRetryRatio(reader, defaults.retryRatio),
        retrySlack = reader.number("retry_slack", defaults.retrySlack, retrySlackRange),
        storeReadDelay = storeReadDelay,
        coldOverage = reader.number("cold_overage", defaults.coldOverage, coldOverageRange),
        coldSlack = reader.number("cold_slack", defaults.coldSlack, coldSlackRange),
        rateWindow = rateWindow,
        rateTolerance = readRateTolerance(reader, rateWindow, defaults.rateTolerance),
    )
}

/** Reads the retries per request, as a ratio or in percent; the ratio goes before. */
private fun readRetryRatio(reader: TomlReader, default: Double): Double {
    val percent = reader.int("retry_percent", (default * HUNDRED_PERCENT).roundToInt(), retryPercentRange)
    val ratio = if (reader.isGiven("retry_percent")) percent / HUNDRED_PERCENT else default
    return reader.number("retry_ratio", ratio, retryRatioRange)
}

/** Reads what is tolerated beyond the accounts' rates; null where the operators name nothing. */
private fun readRateTolerance(reader: TomlReader, window: Duration, default: RateTolerance?): RateTolerance? {
    val overage = reader.number("rate_overage", default?.overage ?: 0.0, rateOverageRange)
    val slack = reader.number("rate_slack", default?.slackTokens ?: 0.0, rateSlackRange)
    return RateTolerance(window, overage, slack).takeIf { overage > 0 || slack > 0 }
}

private const val DEFAULT_PLACER_PORT = 7_600
private val DEFAULT_CONNECT_TIMEOUT = 300.milliseconds
private val STOP_GRACE_MARGIN = 700.milliseconds
