package org.ragwortbank.core.sidecar

/**
 * Start-time fair queueing: sorts runs by start tag, so that accounts with waiting runs share the upstream evenly.
 *
 * The runs of one account stay in order of arrival.
 */
class FairQueueOrder : QueueOrder {
    override fun sort(candidates: List<Run>, tables: SidecarTables): List<Run> {
        val byAccount = candidates.groupBy { it.command.account }
        if (byAccount.size <= 1) return candidates
        return byAccount
            .flatMap { (account, runs) -> tagged(runs, tables.fairQueue.startTagOf(account)) }
            .sortedBy { it.startTag }
            .map { it.run }
    }

    /** Tags the runs of one account: a run's start tag is the finish tag of the run before it. */
    private fun tagged(runs: List<Run>, firstTag: Long): List<TaggedRun> {
        val startTags = runs.runningFold(firstTag) { tag, run -> tag + fairQueueCost(run) }
        return runs.zip(startTags) { run, startTag -> TaggedRun(run, startTag) }
    }

    private data class TaggedRun(val run: Run, val startTag: Long)
}
