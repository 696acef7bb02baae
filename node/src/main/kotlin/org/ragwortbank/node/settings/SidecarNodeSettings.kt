package org.ragwortbank.node.settings

import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.sidecar.SidecarSettings
import org.ragwortbank.node.log.LogFormat

/**
 * Settings of a sidecar process.
 *
 * @property name name of its instance on the instance list, by which pools name the upstream
 * @property failureDomain its failure domain
 * @property peerAddress where entries connect
 * @property adminAddress where health, metrics and status are served
 * @property upstreamAddress where the upstream listens
 * @property weightPrefix beginning of the place of an adapter's weights, to which `adapter@version` is added
 * @property logLevel lowest level of lines that are logged
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
