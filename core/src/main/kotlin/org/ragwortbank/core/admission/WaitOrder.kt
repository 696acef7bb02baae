package org.ragwortbank.core.admission

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The order in which waiting requests are given what little room there is. */
fun interface WaitOrder {
    /** The [waiting] requests at [now], the one to serve first at the beginning. */
    fun sorted(tables: GatewayTables, waiting: List<RequestRow>, now: Timestamp): List<RequestRow>
}

/** Orders by rank, and by age within a rank. */
class RankOrder : WaitOrder {
    override fun sorted(tables: GatewayTables, waiting: List<RequestRow>, now: Timestamp): List<RequestRow> =
        waiting.sortedBy { it.priority }
}

/**
 * Orders by rank, then by how little of its rate the account has used lately, then by the time that is left to the
 * target latency. What has missed it comes behind what can still meet it.
 *
 * Callers that repeat a request while it waits displace only themselves: the latest repeat keeps its turn, and the
 * earlier ones come last in their rank. Equal requests without an account are those of different callers.
 *
 * The account goes before the time that is left: an account far above its usual use has the oldest requests, and would
 * else be served first. So that nothing starves, each [PROMOTION_TIME] of waiting counts as one rank, and one in
 * [AGED_SHARE] of the requests that have waited for [AGING_BOUND] goes before all others.
 */
class FairOrder : WaitOrder {
    override fun sorted(tables: GatewayTables, waiting: List<RequestRow>, now: Timestamp): List<RequestRow> {
        val superseded = supersededAmong(waiting)
        val uses = waiting.mapNotNull { it.account }.distinct().associateWith { useSteps(tables, it, now) }
        return waiting.sortedWith(
            compareByDescending<RequestRow> { isAgedPick(it, now) }
                .thenBy { promotedRank(it, now) }
                .thenBy { it.number in superseded }
                .thenBy { uses[it.account] ?: 0 }
                .thenBy { slack(it, now) < Duration.ZERO }
                .thenBy { slack(it, now) }
                .thenBy { it.number.value },
        )
    }

    /** Requests that their account has repeated while they wait, without the latest repeat. */
    private fun supersededAmong(waiting: List<RequestRow>): Set<RequestNumber> =
        waiting
            .filter { it.account != null && it.call.fingerprint != null }
            .groupBy { it.account to it.call.fingerprint }
            .values
            .flatMap { repeats -> repeats.map { it.number }.sortedBy { it.value }.dropLast(1) }
            .toSet()

    private fun isAgedPick(row: RequestRow, now: Timestamp): Boolean =
        now - row.arrivedAt >= AGING_BOUND && row.number.value % AGED_SHARE == 0L

    private fun promotedRank(row: RequestRow, now: Timestamp): Int =
        (row.priority - ((now - row.arrivedAt) / PROMOTION_TIME).toInt()).coerceAtLeast(0)

    private fun slack(row: RequestRow, now: Timestamp): Duration = row.arrivedAt + row.route.targetLatency - now

    /** Differences below a step don't matter, so that the time that is left decides. */
    private fun useSteps(tables: GatewayTables, account: AccountId, now: Timestamp): Int =
        (usedSeconds(tables, account, now) / USE_STEP_SECONDS).toInt()

    private companion object {
        val PROMOTION_TIME = 800.milliseconds
        val AGING_BOUND = 2.seconds
        const val AGED_SHARE = 16L
        const val USE_STEP_SECONDS = 0.25
    }
}

/** Orders fairly where the settings name [Feature.PRESSURE], and by [otherwise] elsewhere. */
class OrderUnderPressure(
    private val fair: WaitOrder = FairOrder(),
    private val otherwise: WaitOrder = RankOrder(),
) : WaitOrder {
    override fun sorted(tables: GatewayTables, waiting: List<RequestRow>, now: Timestamp): List<RequestRow> {
        val order = if (Feature.PRESSURE in tables.settings.features) fair else otherwise
        return order.sorted(tables, waiting, now)
    }
}
