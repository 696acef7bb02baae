package org.ragwortbank.node.settings

import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.entry.EntrySettings
import org.ragwortbank.node.log.LogFormat

/**
 * Settings of an entry process.
 *
 * @property name name of its instance on the instance list
 * @property failureDomain its failure domain
 * @property httpAddress where callers' requests arrive
 * @property peerAddress where other entries connect
 * @property adminAddress where health, metrics and status are served
 * @property logLevel lowest level of lines that are logged
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
