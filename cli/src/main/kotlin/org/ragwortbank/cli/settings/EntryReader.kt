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
private const val MAX_REQUEST_ATTEMPTS = 10
private val countRange = 1..MAX_COUNT
private val bytesRange = MIN_BYTES..MAX_BYTES
private val tokensRange = 1L..MAX_TOKENS
private val attemptsRange = 1..MAX_REQUEST_ATTEMPTS

/** Upper bound on the time by which the copies of the instance list in two processes differ. */
private val INSTANCE_LIST_SKEW = 2.seconds

internal fun readEntryNodeSettings(reader: TomlReader): EntryNodeSettings {
    val defaults = EntryNodeSettings(name = "")
    return EntryNodeSettings(
        name = reader.string("name"),
        failureDomain = reader.string("domain", defaults.failureDomain),
        httpAddress = reader.address("http_address", defaults.httpAddress),
        peerAddress = reader.address("peer_address", defaults.peerAddress),
        adminAddress = reader.address("admin_address", defaults.adminAddress),
        platform = reader.section("platform", ::readPlatformSettings),
        http = reader.section("http", ::readHttpSettings),
        entry = reader.section("entry", ::readEntrySettings),
        logLevel = reader.section("log", ::readLogLevel),
        logFormat = reader.section("log", ::readLogFormat),
    )
}

/** Reads `level`; reads `format` too, so that it counts as a known name. */
internal fun readLogLevel(reader: TomlReader, defaultFormat: LogFormat = LogFormat.TEXT): String {
    reader.choice("format", defaultFormat, LogFormat.entries)
    return reader.choice("level", LogLevel.INFO, LogLevel.entries).name.lowercase()
}

/** Reads `format`; reads `level` too, so that it counts as a known name. */
internal fun readLogFormat(reader: TomlReader, defaultFormat: LogFormat = LogFormat.TEXT): LogFormat {
    reader.choice("level", LogLevel.INFO, LogLevel.entries)
    return reader.choice("format", defaultFormat, LogFormat.entries)
}

private fun readHttpSettings(reader: TomlReader): HttpSettings {
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

/**
 * Reads the entry settings and checks that `absent_after` covers the membership lease, the lifetime of credit grants
 * and the skew of the instance list; otherwise two entries could own one bucket.
 */
private fun readEntrySettings(reader: TomlReader): EntrySettings {
    val settings = readEntryFields(reader)
    val minAbsentAfter = settings.membershipLease + settings.grantLifetime + INSTANCE_LIST_SKEW
    if (settings.absentAfter < minAbsentAfter) {
        val expected =
            "at least $minAbsentAfter: witness_lifetime, grant_lifetime and $INSTANCE_LIST_SKEW for the instance list"
        reader.addProblem("absent_after", settings.absentAfter.toString(), expected)
    }
    return settings
}

private fun readEntryFields(reader: TomlReader): EntrySettings {
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
