package org.ragwortbank.core.gateway

/** Why an attempt failed after its request was sent; [detail] is for log lines and error texts. */
sealed interface AttemptFailure {
    val detail: String

    /** Kind of the failure in the words of a log line. */
    val label: String

    /** The connection was closed or reset before the answer was complete. */
    data class ConnectionLost(override val detail: String) : AttemptFailure {
        override val label: String get() = "connection lost"
    }

    /** The upstream sent bytes that are not a valid answer to the request. */
    data class InvalidAnswer(override val detail: String) : AttemptFailure {
        override val label: String get() = "invalid answer"
    }

    /** The upstream answered in a form that its other answers don't have, so that this is none of them. */
    data class IrregularAnswer(override val detail: String) : AttemptFailure {
        override val label: String get() = "irregular answer"
    }
}
