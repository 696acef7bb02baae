package org.ragwortbank.core.pressure

/**
 * How many bytes a gateway holds for callers and upstreams that read slowly.
 *
 * @property untakenBytes answers that callers have not taken yet, over all connections
 * @property heldBackBytes answers that are held back until they are complete, over all requests
 * @property bodyBytes bodies of requests, over all requests; each counts [BODY_COPIES] times
 */
data class PressureLimits(
    val untakenBytes: Long = 16_777_216,
    val heldBackBytes: Long = 16_777_216,
    val bodyBytes: Long = 33_554_432,
) {
    /** Bound on what one caller's connection may hold. */
    val connectionBytes: Long get() = maxOf(untakenBytes / CONNECTION_PART, HIGH_WATER_BYTES.toLong())

    /**
     * Whether a body of [size] bytes may be read beside [heldBytes] of others. Large ones use a part of the room only,
     * so that some uploads don't shut out what is small.
     */
    fun admitsBody(size: Long, heldBytes: Long): Boolean {
        val room = if (size > SMALL_BODY_BYTES) bodyBytes / LARGE_BODY_PART else bodyBytes
        return heldBytes + size * BODY_COPIES <= room
    }

    companion object {
        /** Above this a connection's upstream isn't read; what two reads of a socket may bring at once. */
        const val HIGH_WATER_BYTES = 65_536

        /** Below this it is read again. */
        const val LOW_WATER_BYTES = 32_768

        /** A body is kept for a repeat, and copied for its way to the upstream. */
        const val BODY_COPIES = 2

        private const val SMALL_BODY_BYTES = 65_536
        private const val LARGE_BODY_PART = 2
        private const val CONNECTION_PART = 8
        private const val MEMORY_PART = 6
        private const val HEAP_PART = 3
        private const val BODY_PART = 2
        private const val ANSWER_PART = 4

        /** The limits of a process that may use [memoryBytes] in all, of which [heapBytes] are Java heap. */
        fun of(memoryBytes: Long, heapBytes: Long): PressureLimits {
            val total = minOf(memoryBytes / MEMORY_PART, heapBytes / HEAP_PART)
            return PressureLimits(
                untakenBytes = total / ANSWER_PART,
                heldBackBytes = total / ANSWER_PART,
                bodyBytes = total / BODY_PART,
            )
        }
    }
}
