package org.ragwortbank.core.sidecar

/** Takes the accounts in turn by the tokens that they have been served, each in order of arrival. */
class FairOrder : QueueOrder {
    override fun order(candidates: List<Run>, tables: SidecarTables): List<Run> {
        val byAccount = candidates.groupBy { it.command.account }
        if (byAccount.size <= 1) return candidates
        return byAccount
            .flatMap { (account, runs) -> ranked(runs, tables.fairShare.rankOf(account)) }
            .sortedBy { it.rank }
            .map { it.run }
    }

    /** Each run of one account starts where the one before it ends. */
    private fun ranked(runs: List<Run>, first: Long): List<Ranked> {
        val ranks = runs.runningFold(first) { rank, run -> rank + tokensOf(run) }
        return runs.zip(ranks) { run, rank -> Ranked(run, rank) }
    }

    private data class Ranked(val run: Run, val rank: Long)
}
