package org.ragwortbank.core.locality

import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A failure domain that is likely lost as a whole.
 *
 * @property since when that was concluded
 * @property until when it counts as sound again without an answer; later after each request that fails there
 */
data class LostDomainRow(
    val domain: FailureDomain,
    val since: Timestamp,
    val until: Timestamp = since + LIFETIME,
) {
    /** This row after a request failed there at [failedAt]. */
    fun afterFailure(failedAt: Timestamp): LostDomainRow = copy(until = maxOf(until, failedAt + LIFETIME))

    companion object {
        /** Time for which others are preferred after the latest failure. */
        val LIFETIME = 3.seconds

        /** Time between two requests that try the domain. */
        val TRIAL_INTERVAL = 500.milliseconds
    }
}
