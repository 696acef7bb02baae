package org.ragwortbank.node.settings

import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.sidecar.SidecarSettings
import org.ragwortbank.node.log.LogFormat

/**
 * Settings of a sidecar process.
 *
 * @property name instance name on the instance list; pools refer to the upstream by it
 * @property failureDomain failure domain of the instance
 * @property peerAddress listening address for entries
 * @property adminAddress listening address for health, metrics and status
 * @property upstreamAddress address that the upstream listens on
 * @property weightPrefix prefix of the location of an adapter's weights; `adapter@version` follows it
 * @property logLevel lowest level that is logged
 */
data class SidecarNodeSettings(
    val name: String,
    val failureDomain: String = "default",
    val peerAddress: Address = Address("127.0.0.1", 0),
    val adminAddress: Address = Address("127.0.0.1", 0),
    val upstreamAddress: Address,
    val weightPrefix: String = "",
    val platform: PlatformSettings = PlatformSettings(),
    val sidecar: SidecarSettings = SidecarSettings(),
    val logLevel: String = "info",
    val logFormat: LogFormat = LogFormat.TEXT,
)
