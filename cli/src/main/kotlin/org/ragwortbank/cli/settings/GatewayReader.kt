package org.ragwortbank.cli.settings

import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.address
import org.ragwortbank.cli.toml.duration
import org.ragwortbank.cli.toml.int
import org.ragwortbank.cli.toml.optionalBoolean
import org.ragwortbank.cli.toml.string
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.node.log.LogFormat
import org.ragwortbank.node.settings.GatewayNodeSettings
import org.ragwortbank.node.settings.PlacerNodeSettings
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_PORT = 65_535
private const val MAX_SLACK = 1_000_000
private const val MAX_PERCENT = 1_000
private const val PERCENT = 100.0
private val portRange = 1..MAX_PORT
private val slackRange = 0..MAX_SLACK
private val percentRange = 0..MAX_PERCENT

/** Part of the operators' bounds that is left for what the fleet does after a decision. */
private val BOUND_MARGIN = 200.milliseconds

internal fun readGateway(reader: TomlReader): GatewayNodeSettings {
    val nowhere = Address("127.0.0.1", 0)
    return GatewayNodeSettings(
        name = reader.string("name"),
        failureDomain = reader.string("domain", "default"),
        httpAddress = reader.address("http_address", nowhere),
        readinessAddress = reader.address("ready_address", nowhere),
        adminAddress = reader.address("admin_address", nowhere),
        digestAddress = reader.address("digest_address", nowhere),
        placerDigestPort = reader.int("placer_port", DEFAULT_PLACER_PORT, portRange),
        storeAddress = reader.address("store_address", default = null),
        isFirstStart = reader.optionalBoolean("first_start") ?: false,
        connectTimeout = reader.duration("connect_timeout", DEFAULT_CONNECT_TIMEOUT),
        gateway = reader.section("bounds", ::readBounds),
        logLevel = reader.section("log") { readLogLevel(it, LogFormat.JSON) },
        logFormat = reader.section("log") { readLogFormat(it, LogFormat.JSON) },
    )
}

internal fun readPlacer(reader: TomlReader): PlacerNodeSettings {
    val nowhere = Address("127.0.0.1", 0)
    return PlacerNodeSettings(
        name = reader.string("name"),
        adminAddress = reader.address("admin_address", nowhere),
        digestAddress = reader.address("digest_address", nowhere),
        engineAddress = reader.address("engine_address", default = null),
        logLevel = reader.section("log") { readLogLevel(it, LogFormat.JSON) },
        logFormat = reader.section("log") { readLogFormat(it, LogFormat.JSON) },
    )
}

/** The operators' bounds, from which the process derives its own limits. */
private fun readBounds(reader: TomlReader): GatewaySettings {
    val defaults = GatewaySettings()
    val revocation = reader.duration("key_withdrawal", defaults.configurationLease + BOUND_MARGIN)
    val version = reader.duration("adapter_version", defaults.previousVersionLifetime * 2)
    val grace = reader.duration("stop_grace", defaults.drainTimeout + GRACE_MARGIN)
    val percent = reader.int("retry_percent", (defaults.retryRatio * PERCENT).toInt(), percentRange)
    return defaults.copy(
        configurationLease = revocation - BOUND_MARGIN,
        previousVersionLifetime = version / 2,
        drainTimeout = grace - GRACE_MARGIN,
        retryRatio = percent / PERCENT,
        retrySlack = reader.int("retry_slack", defaults.retrySlack, slackRange),
    )
}

private const val DEFAULT_PLACER_PORT = 7_600
private val DEFAULT_CONNECT_TIMEOUT = 300.milliseconds
private val GRACE_MARGIN = 700.milliseconds
