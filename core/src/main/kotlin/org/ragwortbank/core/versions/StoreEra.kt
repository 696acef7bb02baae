package org.ragwortbank.core.versions

import org.ragwortbank.core.tick.Timestamp

/**
 * The era of the store that this gateway reads.
 *
 * @property number rises each time the store comes back from an older copy; 0 while it hasn't been named
 * @property readAt when the first answer of this era was applied
 * @property followsLoss whether this gateway has read an earlier one, so that the store has lost something since
 */
data class StoreEra(
    val number: Long,
    val readAt: Timestamp,
    val followsLoss: Boolean = false,
) {
    /** This row after an answer of era [number] was applied at [now]. */
    fun withAnswer(number: Long, now: Timestamp): StoreEra =
        when {
            number <= this.number -> this
            this.number == UNNAMED -> copy(number = number)
            else -> StoreEra(number, now, followsLoss = true)
        }

    companion object {
        /** Before an answer has named an era. */
        const val UNNAMED = 0L

        /** No store has come back from a copy before this one. */
        const val FIRST = 1L
    }
}
