package org.ragwortbank.node.loop

/** Is notified of each tick, for metrics. */
fun interface TickObserver {
    /** A tick with [inputs] inputs took [nanos] nanoseconds, its effects included. */
    fun onTick(inputs: Int, nanos: Long)
}
