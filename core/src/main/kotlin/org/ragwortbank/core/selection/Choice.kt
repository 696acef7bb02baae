package org.ragwortbank.core.selection

/** Chooses one of several candidates. */
fun interface Choice {
    /** Returns the candidate to use; null if there are none. */
    fun choose(context: SelectionContext, candidates: List<Candidate>): Candidate?
}

/** Chooses the candidate with the smallest expected delay. */
class LowestDelay : Choice {
    override fun choose(context: SelectionContext, candidates: List<Candidate>): Candidate? =
        candidates.minWithOrNull(bestFirst)

    private companion object {
        /** Of equals the one that failed less and has run for longer, not one that may have crashed just now. */
        val bestFirst = compareBy<Candidate>(
            { it.expectedMillis },
            { it.row.health.failures },
            { it.row.registration.startedMillis },
        )
    }
}
