package org.ragwortbank.core.sidecar

import org.ragwortbank.core.model.UpstreamKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds for the decisions of a sidecar.
 *
 * @property slots adapters that the engine can hold at once
 * @property maxRunning requests that the upstream runs at once
 * @property maxQueued requests that wait at once; more are refused
 * @property maxLoads adapter loads ordered at once
 * @property loadTimeout longest time from a load order to its answer
 * @property loadBackoff time during which an adapter is not loaded again after a failed load
 * @property fencingTimeout longest wait of a run for a load while there is no fencing number
 * @property digestInterval shortest time between two reports to the entries
 * @property heartbeatInterval longest time between two reports
 * @property probeInterval time between attempts to reach an upstream that is down
 * @property drainGrace how long a stopping sidecar still takes work that was sent before its entries knew
 * @property drainTimeout longest time that a stopping sidecar waits for its runs
 */
data class SidecarSettings(
    val kind: UpstreamKind = UpstreamKind.ENGINE,
    val slots: Int = 8,
    val maxRunning: Int = 16,
    val maxQueued: Int = 256,
    val maxLoads: Int = 2,
    val loadTimeout: Duration = 30.seconds,
    val loadBackoff: Duration = 2.seconds,
    val fencingTimeout: Duration = 1.seconds,
    val digestInterval: Duration = 20.milliseconds,
    val heartbeatInterval: Duration = 1.seconds,
    val probeInterval: Duration = 500.milliseconds,
    val drainGrace: Duration = 1.seconds,
    val drainTimeout: Duration = 60.seconds,
)
