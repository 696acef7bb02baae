package org.ragwortbank.node.settings

import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.node.log.LogFormat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of a gateway process.
 *
 * @property name name of the instance
 * @property httpAddress listening address for callers
 * @property readinessAddress listening address for readiness checks of the load balancer
 * @property adminAddress listening address for health, metrics and status
 * @property digestAddress listening address for digests of other processes
 * @property placerDigestPort port on which the placer beside each engine receives digests
 * @property storeAddress address that the platform's store listens on
 * @property isFirstStart whether the whole system starts for the first time
 * @property connectTimeout maximum time to open a connection to an upstream
 */
data class GatewayNodeSettings(
    val name: String,
    val failureDomain: String = "default",
    val httpAddress: Address = Address("127.0.0.1", 0),
    val readinessAddress: Address = Address("127.0.0.1", 0),
    val adminAddress: Address = Address("127.0.0.1", 0),
    val digestAddress: Address = Address("127.0.0.1", 0),
    val placerDigestPort: Int,
    val storeAddress: Address,
    val isFirstStart: Boolean = false,
    val connectTimeout: Duration = 300.milliseconds,
    val gateway: GatewaySettings = GatewaySettings(),
    val logLevel: String = "info",
    val logFormat: LogFormat = LogFormat.JSON,
)

/**
 * Settings of a placer process.
 *
 * @property digestAddress listening address for digests of gateways
 * @property engineAddress address that the engine beside the placer listens on
 */
data class PlacerNodeSettings(
    val name: String,
    val adminAddress: Address = Address("127.0.0.1", 0),
    val digestAddress: Address = Address("127.0.0.1", 0),
    val engineAddress: Address,
    val logLevel: String = "info",
    val logFormat: LogFormat = LogFormat.JSON,
)
