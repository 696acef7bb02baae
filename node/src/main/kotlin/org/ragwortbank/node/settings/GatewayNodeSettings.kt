package org.ragwortbank.node.settings

import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.node.log.LogFormat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of a gateway process.
 *
 * @property name name of its instance
 * @property httpAddress where callers connect
 * @property readinessAddress where the balancer asks whether to send callers here
 * @property adminAddress where health, metrics and status are served
 * @property digestAddress where digests of other processes arrive
 * @property placerDigestPort port at which the placer beside an engine takes digests
 * @property storeAddress where the platform's store listens
 * @property isFirstStart whether the whole system starts for the first time
 * @property connectTimeout longest wait for a connection to an upstream
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
 * @property digestAddress where digests of entries arrive
 * @property engineAddress where the engine beside it listens
 */
data class PlacerNodeSettings(
    val name: String,
    val adminAddress: Address = Address("127.0.0.1", 0),
    val digestAddress: Address = Address("127.0.0.1", 0),
    val engineAddress: Address,
    val logLevel: String = "info",
    val logFormat: LogFormat = LogFormat.JSON,
)
