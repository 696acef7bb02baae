package org.ragwortbank.node.settings

import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.entry.EntrySettings
import org.ragwortbank.node.log.LogFormat

/**
 * Settings of an entry process.
 *
 * @property name instance name on the instance list
 * @property failureDomain failure domain of the instance
 * @property httpAddress listening address for callers
 * @property peerAddress listening address for other entries
 * @property adminAddress listening address for health, metrics and status
 * @property logLevel lowest level that is logged
 */
data class EntryNodeSettings(
    val name: String,
    val failureDomain: String = "default",
    val httpAddress: Address = Address("127.0.0.1", 0),
    val peerAddress: Address = Address("127.0.0.1", 0),
    val adminAddress: Address = Address("127.0.0.1", 0),
    val platform: PlatformSettings = PlatformSettings(),
    val http: HttpSettings = HttpSettings(),
    val entry: EntrySettings = EntrySettings(),
    val logLevel: String = "info",
    val logFormat: LogFormat = LogFormat.TEXT,
)
