package org.ragwortbank.standins.drill

import kotlin.time.Duration

/** Something that happens in a drill. */
sealed interface DrillAct {
    /** The operator writes another version as soon as the store takes it. */
    data object Publish : DrillAct

    /** The store goes away. */
    data object StoreStops : DrillAct

    /** The store comes back, from a copy made [copyAge] before it went away unless that is null. */
    data class StoreReturns(val copyAge: Duration?) : DrillAct

    /** The store delays its answers by [delay] from now on. */
    data class StoreAnswersAfter(val delay: Duration) : DrillAct

    /** The gateway of [machine] ends, by SIGKILL or by SIGTERM, and is started again [downtime] after its end. */
    data class GatewayEnds(val machine: Int, val isKilled: Boolean, val downtime: Duration) : DrillAct
}
