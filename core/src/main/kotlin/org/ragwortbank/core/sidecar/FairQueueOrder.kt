package org.ragwortbank.core.sidecar

/** Takes the accounts in turn by the tokens that they have been served, each in order of arrival. */
class FairQueueOrder : QueueOrder {
    override fun sort(candidates: List<Run>, tables: SidecarTables): List<Run> {
        val byAccount = candidates.groupBy { it.command.account }
        if (byAccount.size <= 1) return candidates
        return byAccount
            .flatMap { (account, runs) -> tagged(runs, tables.fairQueue.startTagOf(account)) }
            .sortedBy { it.startTag }
            .map { it.run }
    }

    /** Each run of one account starts where the one before it ends. */
    private fun tagged(runs: List<Run>, firstTag: Long): List<TaggedRun> {
        val startTags = runs.runningFold(firstTag) { tag, run -> tag + fairQueueCost(run) }
        return runs.zip(startTags) { run, startTag -> TaggedRun(run, startTag) }
    }

    private data class TaggedRun(val run: Run, val startTag: Long)
}
