package org.ragwortbank.standins.drill

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.standins.prepared.StoreStandIn
import kotlin.time.Duration

/** Performs the acts of [plan], which starts at [plannedFrom]; [restart] ends and starts gateways. */
class ActSystem(
    private val plan: DrillPlan,
    private val plannedFrom: Duration,
    private val store: StoreStandIn,
    private val restart: (DrillAct.GatewayEnds) -> Unit,
) : DrillSystem {
    override fun run(now: Duration, tables: DrillTables): DrillTables =
        plan.actsBetween(tables.tickedAt - plannedFrom, now - plannedFrom)
            .fold(tables) { current, act -> perform(act, now, current) }

    private fun perform(act: DrillAct, now: Duration, tables: DrillTables): DrillTables =
        when (act) {
            DrillAct.Publish -> tables.copy(operator = tables.operator.copy(isChangeDue = true))
            DrillAct.StoreStops -> {
                store.stop()
                tables.copy(storeStoppedAt = now)
            }
            is DrillAct.StoreReturns -> returnStore(act.copyAge, now, tables)
            is DrillAct.StoreAnswersAfter -> delayAnswers(act.delay, now, tables)
            is DrillAct.GatewayEnds -> {
                restart(act)
                tables
            }
        }

    private fun returnStore(copyAge: Duration?, now: Duration, tables: DrillTables): DrillTables {
        val stoppedAt = checkNotNull(tables.storeStoppedAt) { "the store is there" }
        val returned = tables.copy(storeStoppedAt = null, storeReturnedAt = now).withDisturbance(stoppedAt, now)
        if (copyAge == null) {
            store.restart()
            return returned
        }
        val copy = tables.copies.lastOrNull { it.at <= stoppedAt - copyAge } ?: tables.copies.first()
        store.restart(copy.content)
        return returned.copy(
            operator = tables.operator.withLoss(copy.version),
            copies = tables.copies.filter { it.at <= copy.at }.toPersistentList(),
        )
    }

    private fun delayAnswers(delay: Duration, now: Duration, tables: DrillTables): DrillTables {
        store.setAnswerDelay(delay)
        val slowSince = tables.storeSlowSince
        return when {
            delay > Duration.ZERO -> tables.copy(storeSlowSince = slowSince ?: now)
            slowSince == null -> tables
            else -> tables.copy(storeSlowSince = null).withDisturbance(slowSince, now)
        }
    }
}
