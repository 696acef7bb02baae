package org.ragwortbank.node

/** A process of the serving layer: entry, gateway, placer or sidecar. */
interface NodeProcess {
    /** Starts the process and returns the addresses that it listens on. */
    fun start(): ListenAddresses

    /** Requests a graceful stop, which does not abort work under way. */
    fun stop()

    /** Blocks until the process has stopped. */
    fun awaitTermination()
}
