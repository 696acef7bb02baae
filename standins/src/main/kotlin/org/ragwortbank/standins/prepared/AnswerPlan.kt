package org.ragwortbank.standins.prepared

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When a [StutteringWorker] writes the second answer to a request. */
sealed interface SecondAnswerTime {
    /** [delay] after the first; in the same write if it is zero. */
    data class After(val delay: Duration) : SecondAnswerTime

    /** In one write with the answer to the next request on the connection, before it. */
    data object BeforeNextAnswer : SecondAnswerTime

    /** In one write with the answer to the next request on the connection, after it. */
    data object AfterNextAnswer : SecondAnswerTime
}

/**
 * How a [StutteringWorker] answers one request.
 *
 * @property status status that its run ends with, whatever is written
 * @property body body that its run ends with
 * @property second the second answer; null for none
 * @property earlyBytes number of bytes of the second answer that are in one write with the first
 */
data class AnswerPlan(
    val status: Int = 200,
    val body: String = "",
    val first: AnswerForm = AnswerForm.Complete(status, body),
    val second: AnswerForm? = null,
    val secondTime: SecondAnswerTime = SecondAnswerTime.After(DEFAULT_DELAY),
    val earlyBytes: Int = 0,
) {
    private companion object {
        val DEFAULT_DELAY = 5.milliseconds
    }
}
