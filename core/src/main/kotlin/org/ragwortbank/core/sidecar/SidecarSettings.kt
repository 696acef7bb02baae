package org.ragwortbank.core.sidecar

import org.ragwortbank.core.model.UpstreamKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits and time-outs of a sidecar.
 *
 * @property slots number of adapters that can be resident in the engine
 * @property maxRunning maximum number of concurrent runs at the upstream
 * @property maxQueued maximum number of waiting runs; further ones are refused
 * @property maxLoads maximum number of concurrent adapter loads, and of concurrent unloads
 * @property loadTimeout longest time from a load command to its answer
 * @property loadBackoff time after a failed load before the same adapter is loaded again
 * @property fencingTimeout longest time that a run waits for a load while there is no fencing token
 * @property digestInterval shortest time between two digests, unless the sidecar starts or stops accepting runs
 * @property heartbeatInterval longest time between two digests
 * @property probeInterval shortest time between probes of an unreachable upstream
 * @property drainGrace time for which a draining sidecar accepts runs sent before the entries knew of the drain
 * @property drainTimeout longest time that a draining sidecar waits for its runs
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
