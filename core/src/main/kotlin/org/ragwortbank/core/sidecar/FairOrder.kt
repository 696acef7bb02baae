package org.ragwortbank.core.sidecar

/** Takes the accounts in turn, the one that has been served the fewest tokens first, each in order of arrival. */
class FairOrder : QueueOrder {
    override fun order(candidates: List<Run>, tables: SidecarTables): List<Run> {
        val byAccount = candidates.groupBy { it.command.account }
        if (byAccount.size <= 1) return candidates
        return byAccount
            .flatMap { (account, runs) -> ranked(runs, tables.servedTokens[account] ?: 0) }
            .sortedBy { it.rank }
            .map { it.run }
    }

    private fun ranked(runs: List<Run>, served: Long): List<Ranked> =
        runs
            .runningFold(Ranked(null, served)) { last, run -> Ranked(run, last.rank + tokensOf(run)) }
            .zipWithNext { before, next -> Ranked(next.run, before.rank) }

    private data class Ranked(val nullableRun: Run?, val rank: Long) {
        val run: Run get() = requireNotNull(nullableRun)
    }
}
