package org.ragwortbank.core.hash

import org.apache.commons.codec.digest.MurmurHash3

/** Rendezvous (highest random weight) hashing: a key is assigned to the candidate with the highest score. */
object RendezvousHash {
    /** Number of different scores. */
    private const val SCORE_COUNT = 4_294_967_296.0

    /** The 64-bit hash of a key or candidate name. Callers that score a name often can store it. */
    fun hashOf(name: String): Long = hashOf(name.encodeToByteArray())

    /** The 64-bit hash of [bytes]. */
    fun hashOf(bytes: ByteArray): Long = MurmurHash3.hash128x64(bytes)[0]

    /** The score of the candidate with [candidateHash] for the key with [keyHash], uniform over 32 bits. */
    fun score(keyHash: Long, candidateHash: Long): Int = MurmurHash3.hash32x86(bytesOf(keyHash, candidateHash))

    /** The score of the candidate with [candidateHash] for the key with [keyHash], as a number from 0 to below 1. */
    fun fraction(keyHash: Long, candidateHash: Long): Double =
        (score(keyHash, candidateHash).toLong() - Int.MIN_VALUE) / SCORE_COUNT

    private fun bytesOf(keyHash: Long, candidateHash: Long): ByteArray =
        ByteArray(2 * Long.SIZE_BYTES) { index ->
            val word = if (index < Long.SIZE_BYTES) keyHash else candidateHash
            (word ushr (index % Long.SIZE_BYTES * Byte.SIZE_BITS)).toByte()
        }
}
