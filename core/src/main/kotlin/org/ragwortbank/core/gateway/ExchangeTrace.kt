package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Timestamp

/**
 * A connection to an upstream, as one exchange uses it.
 *
 * @property number unique among the connections of the process
 * @property carriedBefore number of exchanges that were completed on it before this one
 * @property openedAt when it was opened; null if that is unknown
 */
data class ConnectionUse(val number: Long, val carriedBefore: Int, val openedAt: Timestamp? = null)

/**
 * The head of an answer in short.
 *
 * @property requestId id of the request that it says it answers, cleaned for log lines; null when it names none
 */
data class AnswerSummary(val status: Int, val requestId: String?) {
    override fun toString(): String = if (requestId == null) "$status without an id" else "$status of $requestId"
}

/**
 * What one exchange with an upstream has read from its connection and passed on so far.
 *
 * @property skipped the first answers that were read and not taken for the answer to the request, interim ones included
 * @property skippedCount number of all such answers
 * @property read the answer that was read last and not skipped; null if there was none
 * @property passedOn status of the head that was written to the caller; null if none was
 */
data class ExchangeTrace(
    val connection: ConnectionUse,
    val skipped: PersistentList<AnswerSummary> = persistentListOf(),
    val skippedCount: Int = 0,
    val read: AnswerSummary? = null,
    val passedOn: Int? = null,
) {
    /** This trace with [answer] read and skipped. */
    fun withSkipped(answer: AnswerSummary): ExchangeTrace = copy(
        skipped = if (skipped.size < MAX_LISTED) skipped.add(answer) else skipped,
        skippedCount = skippedCount + 1,
    )

    private companion object {
        const val MAX_LISTED = 4
    }
}

/** The trace in the words of a log line; null stands for an exchange that had no connection yet. */
fun ExchangeTrace?.describe(): String {
    if (this == null) return "no connection"
    val facts = listOfNotNull(
        "connection ${connection.number} after ${connection.carriedBefore} exchanges",
        describeSkipped(),
        if (read == null) "no answer read" else "read $read",
        passedOn?.let { "passed on $it" },
    )
    return facts.joinToString()
}

private fun ExchangeTrace.describeSkipped(): String? {
    if (skippedCount == 0) return null
    val more = if (skippedCount > skipped.size) " and others" else ""
    return "skipped $skippedCount (${skipped.joinToString()}$more)"
}
