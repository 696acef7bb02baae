package org.ragwortbank.core.admission

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.selection.Candidate
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.serving.Feature
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides whether a request that must wait is kept. */
fun interface StartAdmission {
    /** The refusal of the context's request, which could use [candidates]; null if it is kept. */
    fun refusalOf(context: SelectionContext, candidates: PersistentList<Candidate>): Refusal?
}

/**
 * Refuses what can't begin before its deadline, as soon as that is known. What could begin late is kept, and nothing is
 * refused while a candidate has a free place.
 */
class DeadlineAdmission(private val estimator: StartEstimator = LoadQueueEstimator()) : StartAdmission {
    override fun refusalOf(context: SelectionContext, candidates: PersistentList<Candidate>): Refusal? {
        val row = context.request
        val isInForce = Feature.PRESSURE in context.tables.settings.features && row.stage is RequestStage.Waiting
        val estimate = if (isInForce && !row.mayHaveRun) estimator.estimate(context, candidates) else null
        val timeLeft = row.deadline - context.now
        if (estimate == null || estimate.earliest < timeLeft) return null
        val detail = "expected to begin in ${estimate.wait}, ${estimate.backlog} loads before it as of " +
            "${estimate.age} ago, with $timeLeft left"
        return Refusal.notRun(ResultCode.NOT_IN_TIME, detail, returnTime(row, estimate.wait))
    }

    /** After half to all of the backlog has been drained, by the hash of the request. */
    private fun returnTime(row: RequestRow, drainTime: Duration): Duration {
        val hash = RendezvousHash.hashOf(row.call.id).mod(HASH_STEPS)
        return (drainTime * (1.0 + hash.toDouble() / HASH_STEPS) / 2).coerceAtLeast(MIN_RETURN_TIME)
    }

    private companion object {
        const val HASH_STEPS = 1_024
        val MIN_RETURN_TIME = 300.milliseconds
    }
}
