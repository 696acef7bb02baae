package org.ragwortbank.node.gateway

import org.ragwortbank.core.pressure.HeldMeasure

/** An answer of which its caller's connection may hold a part; used on the event loop's thread only. */
internal interface HeldAnswer {
    /** What the connection holds of it; null if it holds nothing. */
    fun measure(): HeldMeasure?

    /** Lets the upstream be read until the connection holds [bytes], or as usual if that is less. */
    fun setReadLimit(bytes: Long)

    /** Has the upstream read or not, as what the connection holds now calls for. */
    fun updateReading()

    /** Resets the connection unless all of the answer was taken. */
    fun cut()
}
