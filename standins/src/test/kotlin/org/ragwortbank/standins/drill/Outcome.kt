package org.ragwortbank.standins.drill

/** How a request was handled, as far as that tells which configuration was in force. */
sealed interface Outcome {
    /** A worker of [service] ran it. */
    data class Run(val service: String) : Outcome

    /** It was refused with 401, 403 or 404. */
    data object Denied : Outcome

    /** It was refused for another reason, or had no answer. */
    data object Undecided : Outcome
}
