package org.ragwortbank.core.entry

/**
 * State of a bucket as reported by its previous owners.
 *
 * @property level tokens in the bucket; null when no previous owner has reported it
 * @property unspent tokens granted to entries that may still spend them until the grants expire
 */
data class BucketBalance(
    val level: Long? = null,
    val unspent: Long = 0,
) {
    /** Combines two reports conservatively: the lower level and the higher number of unspent tokens. */
    fun merge(other: BucketBalance): BucketBalance =
        BucketBalance(listOfNotNull(level, other.level).minOrNull(), maxOf(unspent, other.unspent))
}
