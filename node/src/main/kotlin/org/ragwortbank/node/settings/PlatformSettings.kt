package org.ragwortbank.node.settings

import org.ragwortbank.clients.http.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_KEY_VALUE_PORT = 2_379
private const val DEFAULT_INSTANCES_PORT = 8_500

/**
 * Addresses, timeouts and intervals for the platform's services.
 *
 * @property keyValueAddress address of the key-value service
 * @property instanceListAddress address of the instance list
 * @property callTimeout maximum time for an answer of either service
 * @property connectTimeout maximum time to open a connection
 * @property instanceListReadInterval time between two reads of the instance list
 * @property epochReadInterval time between two reads of the limit epoch
 * @property configReadInterval time between two reads of the configuration, in addition to the watch
 */
data class PlatformSettings(
    val keyValueAddress: Address = Address("127.0.0.1", DEFAULT_KEY_VALUE_PORT),
    val instanceListAddress: Address = Address("127.0.0.1", DEFAULT_INSTANCES_PORT),
    val callTimeout: Duration = 1.seconds,
    val connectTimeout: Duration = 500.milliseconds,
    val instanceListReadInterval: Duration = 500.milliseconds,
    val epochReadInterval: Duration = 1.seconds,
    val configReadInterval: Duration = 5.seconds,
)
