package org.ragwortbank.cli.settings

import org.ragwortbank.cli.toml.TomlReader
import org.ragwortbank.cli.toml.address
import org.ragwortbank.cli.toml.choice
import org.ragwortbank.cli.toml.duration
import org.ragwortbank.cli.toml.int
import org.ragwortbank.cli.toml.optionalString
import org.ragwortbank.cli.toml.string
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.sidecar.SidecarSettings
import org.ragwortbank.node.settings.SidecarNodeSettings

private const val MAX_SLOTS = 10_000
private const val MAX_CONCURRENT_LOADS = 64
private const val MAX_QUEUED = 100_000
private val slotsRange = 1..MAX_SLOTS
private val loadsRange = 1..MAX_CONCURRENT_LOADS
private val queuedRange = 1..MAX_QUEUED

internal fun readSidecarNodeSettings(reader: TomlReader): SidecarNodeSettings {
    val defaults = SidecarNodeSettings(name = "", upstreamAddress = Address("", 0))
    return SidecarNodeSettings(
        name = reader.string("name"),
        failureDomain = reader.string("domain", defaults.failureDomain),
        peerAddress = reader.address("peer_address", defaults.peerAddress),
        adminAddress = reader.address("admin_address", defaults.adminAddress),
        upstreamAddress = reader.address("upstream_address", default = null),
        weightPrefix = reader.optionalString("weight_prefix").orEmpty(),
        platform = reader.section("platform", ::readPlatformSettings),
        sidecar = reader.section("sidecar", ::readSidecarSettings),
        logLevel = reader.section("log", ::readLogLevel),
        logFormat = reader.section("log", ::readLogFormat),
    )
}

private fun readSidecarSettings(reader: TomlReader): SidecarSettings {
    val defaults = SidecarSettings()
    return SidecarSettings(
        kind = reader.choice("kind", defaults.kind, UpstreamKind.entries),
        slots = reader.int("slots", defaults.slots, slotsRange),
        maxRunning = reader.int("max_running", defaults.maxRunning, slotsRange),
        maxQueued = reader.int("max_queued", defaults.maxQueued, queuedRange),
        maxLoads = reader.int("max_loads", defaults.maxLoads, loadsRange),
        loadTimeout = reader.duration("load_timeout", defaults.loadTimeout),
        loadBackoff = reader.duration("load_backoff", defaults.loadBackoff),
        fencingTimeout = reader.duration("fencing_timeout", defaults.fencingTimeout),
        digestInterval = reader.duration("digest_interval", defaults.digestInterval),
        heartbeatInterval = reader.duration("heartbeat_interval", defaults.heartbeatInterval),
        probeInterval = reader.duration("probe_interval", defaults.probeInterval),
        drainGrace = reader.duration("drain_grace", defaults.drainGrace),
        drainTimeout = reader.duration("drain_timeout", defaults.drainTimeout),
    )
}
