package org.ragwortbank.node

import kotlin.time.Duration

/** A process of the serving layer: entry, gateway, placer or sidecar. */
interface NodeProcess {
    /** Starts the process and returns the addresses that it listens on. */
    fun start(): ListenAddresses

    /** Requests a graceful stop; [requestedAgo], the time since the signal to stop, counts as part of the drain. */
    fun stop(requestedAgo: Duration)

    /** Blocks until the process has stopped. */
    fun awaitTermination()
}
