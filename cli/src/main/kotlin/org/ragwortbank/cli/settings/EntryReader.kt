package org.ragwortbank.cli.settings

import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.address
import org.ragwortbank.cli.toml.choice
import org.ragwortbank.cli.toml.duration
import org.ragwortbank.cli.toml.int
import org.ragwortbank.cli.toml.long
import org.ragwortbank.cli.toml.string
import org.ragwortbank.core.entry.EntrySettings
import org.ragwortbank.node.log.LogFormat
import org.ragwortbank.node.settings.EntryNodeSettings
import org.ragwortbank.node.settings.HttpSettings
import kotlin.time.Duration.Companion.seconds

private const val MAX_COUNT = 1_000_000
private const val MIN_BYTES = 1_024
private const val MAX_BYTES = 64 * 1_024 * 1_024
private const val MAX_TOKENS = 1_000_000L
private const val MAX_ATTEMPTS = 10
private val countRange = 1..MAX_COUNT
private val bytesRange = MIN_BYTES..MAX_BYTES
private val tokensRange = 1L..MAX_TOKENS
private val attemptsRange = 1..MAX_ATTEMPTS

/** Longest time by which two readers of the instance list may differ. */
private val LIST_LAG = 2.seconds

internal fun readEntry(reader: TomlReader): EntryNodeSettings {
    val defaults = EntryNodeSettings(name = "")
    return EntryNodeSettings(
        name = reader.string("name"),
        failureDomain = reader.string("domain", defaults.failureDomain),
        httpAddress = reader.address("http_address", defaults.httpAddress),
        peerAddress = reader.address("peer_address", defaults.peerAddress),
        adminAddress = reader.address("admin_address", defaults.adminAddress),
        platform = reader.section("platform", ::readPlatform),
        http = reader.section("http", ::readHttp),
        entry = reader.section("entry", ::readEntryBounds),
        logLevel = reader.section("log", ::readLogLevel),
        logFormat = reader.section("log", ::readLogFormat),
    )
}

internal fun readLogLevel(reader: TomlReader, format: LogFormat = LogFormat.TEXT): String {
    reader.choice("format", format, LogFormat.entries)
    return reader.choice("level", LogLevel.INFO, LogLevel.entries).name.lowercase()
}

internal fun readLogFormat(reader: TomlReader, format: LogFormat = LogFormat.TEXT): LogFormat {
    reader.choice("level", LogLevel.INFO, LogLevel.entries)
    return reader.choice("format", format, LogFormat.entries)
}

private fun readHttp(reader: TomlReader): HttpSettings {
    val defaults = HttpSettings()
    return HttpSettings(
        maxBodyBytes = reader.int("max_body_bytes", defaults.maxBodyBytes, bytesRange),
        maxHeaderBytes = reader.int("max_header_bytes", defaults.maxHeaderBytes, bytesRange),
        receiveTimeout = reader.duration("receive_timeout", defaults.receiveTimeout),
        idleTimeout = reader.duration("idle_timeout", defaults.idleTimeout),
        maxConnections = reader.int("max_connections", defaults.maxConnections, countRange),
        maxUnsentBytes = reader.int("max_unsent_bytes", defaults.maxUnsentBytes.toInt(), bytesRange).toLong(),
        defaultMaxTokens = reader.long("default_max_tokens", defaults.defaultMaxTokens, tokensRange),
    )
}

private fun readEntryBounds(reader: TomlReader): EntrySettings {
    val settings = readEntryValues(reader)
    val lowest = settings.membershipLease + settings.grantLifetime + LIST_LAG
    if (settings.absentAfter < lowest) {
        val expected = "at least $lowest: witness_lifetime, grant_lifetime and $LIST_LAG for the instance list"
        reader.note("absent_after", settings.absentAfter.toString(), expected)
    }
    return settings
}

private fun readEntryValues(reader: TomlReader): EntrySettings {
    val defaults = EntrySettings()
    return EntrySettings(
        maxRequests = reader.int("max_requests", defaults.maxRequests, countRange),
        creditTimeout = reader.duration("credit_timeout", defaults.creditTimeout),
        grantLifetime = reader.duration("grant_lifetime", defaults.grantLifetime),
        claimTimeout = reader.duration("claim_timeout", defaults.claimTimeout),
        startTimeout = reader.duration("start_timeout", defaults.startTimeout),
        requestTimeout = reader.duration("request_timeout", defaults.requestTimeout),
        maxAttempts = reader.int("max_attempts", defaults.maxAttempts, attemptsRange),
        sweepInterval = reader.duration("sweep_interval", defaults.sweepInterval),
        membershipLease = reader.duration("witness_lifetime", defaults.membershipLease),
        absentAfter = reader.duration("absent_after", defaults.absentAfter),
        plainCallTokens = reader.long("plain_call_tokens", defaults.plainCallTokens, tokensRange),
        drainGrace = reader.duration("drain_grace", defaults.drainGrace),
        handoverTimeout = reader.duration("handover_timeout", defaults.handoverTimeout),
        drainTimeout = reader.duration("drain_timeout", defaults.drainTimeout),
    )
}
