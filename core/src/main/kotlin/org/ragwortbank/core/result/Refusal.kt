package org.ragwortbank.core.result

import kotlin.time.Duration

/**
 * A request that gets no complete answer.
 *
 * @property detail what was found and what was expected, without any secret
 * @property retryAfter when a repeat is likely to succeed; null when waiting does not help
 */
data class Refusal(
    val code: ResultCode,
    val execution: Execution,
    val detail: String = code.meaning,
    val retryAfter: Duration? = null,
) {
    companion object {
        /** A refusal of a request that no upstream has run. */
        fun notRun(code: ResultCode, detail: String = code.meaning, retryAfter: Duration? = null): Refusal =
            Refusal(code, Execution.NOT_RUN, detail, retryAfter)
    }
}
