package org.ragwortbank.node

/** A process of the system. */
interface NodeProcess {
    /** Starts it and returns the addresses that it listens on. */
    fun start(): ListenAddresses

    /** Stops it gracefully: no work is cut off. */
    fun stop()

    /** Waits until it has stopped. */
    fun awaitTermination()
}
