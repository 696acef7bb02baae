package org.ragwortbank.core.result

import kotlin.time.Duration

/**
 * The error with which a request ends that gets no complete answer, whether or not it was executed.
 *
 * @property detail what was found and what was expected; contains no secret
 * @property retryAfter delay after which a repeat is likely to succeed; null if waiting does not help
 */
data class Refusal(
    val code: ResultCode,
    val execution: Execution,
    val detail: String = code.meaning,
    val retryAfter: Duration? = null,
) {
    companion object {
        /** Refusal of a request that no upstream has executed. */
        fun notRun(code: ResultCode, detail: String = code.meaning, retryAfter: Duration? = null): Refusal =
            Refusal(code, Execution.NOT_RUN, detail, retryAfter)
    }
}
