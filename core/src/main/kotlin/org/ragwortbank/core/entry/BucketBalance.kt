package org.ragwortbank.core.entry

/**
 * What former homes of an account left.
 *
 * @property level tokens in the bucket; null when no former home has told
 * @property unspent tokens handed out that may still be spent for a short time
 */
data class BucketBalance(
    val level: Long? = null,
    val unspent: Long = 0,
) {
    /** Both reports in one, the lower level and the higher debt. */
    fun merge(other: BucketBalance): BucketBalance =
        BucketBalance(listOfNotNull(level, other.level).minOrNull(), maxOf(unspent, other.unspent))
}
