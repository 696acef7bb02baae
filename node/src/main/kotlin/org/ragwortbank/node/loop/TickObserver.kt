package org.ragwortbank.node.loop

/** Is notified of each tick, for metrics. */
fun interface TickObserver {
    /** A tick with [inputs] inputs took [nanos] nanoseconds, its effects included. */
    fun onTick(inputs: Int, nanos: Long)

    /** A system threw, so that an input was dropped, or an effect was not performed. */
    fun onTickFailed() = Unit
}
