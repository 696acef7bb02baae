package org.ragwortbank.node.gateway

/** Bounds the bytes of answers that a process holds and doesn't relay yet; used on the event loop's thread only. */
internal class BufferBudget(var maxBytes: Long = DEFAULT_MAX_BYTES) {
    private var usedBytes = 0L

    /** Whether nothing more should be held, so that answers are relayed as they arrive. */
    val isExhausted: Boolean get() = usedBytes > maxBytes

    /** Counts [bytes] more. */
    fun add(bytes: Int) {
        usedBytes += bytes
    }

    /** Counts [bytes] less. */
    fun remove(bytes: Int) {
        usedBytes -= bytes
    }

    companion object {
        /** Bound where the settings don't give another. */
        const val DEFAULT_MAX_BYTES = 16_777_216L
    }
}
