package org.ragwortbank.core.locality

import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/**
 * Moves what waits for upstreams of a failure domain as soon as that is emptied.
 *
 * Requests that wait for a load there are routed anew in the same tick, the placers there learn that nothing is
 * requested any more, and idle connections are closed. Requests under way there end where they are.
 */
class EvacuationSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val begun = step.tables.evacuations.values.filter { !it.isApplied }
        if (begun.isEmpty()) return step
        return warnIfNothingIsLeft(begun.fold(step, ::apply))
    }

    private fun apply(step: GatewayStep, row: EvacuationRow): GatewayStep {
        val upstreams = step.tables.upstreamsIn(row.domain)
        val ids = upstreams.map { it.registration.id }.toPersistentSet()
        val moved = step.tables.requestsWaitingFor(ids)
        val endpoints = upstreams.map { it.registration.endpoint }.toPersistentSet()
        val connectionsClosed =
            if (endpoints.isEmpty()) step else step.emit(GatewayEffect.CloseIdleConnections(endpoints))
        return connectionsClosed
            .log(LogPart.MEMBERS, describe(row, upstreams.size, upstreams.sumOf { it.inFlight }, moved.size))
            .update { it.withRerouted(moved).withDigestsDueTo(ids) }
            .update { it.copy(evacuations = it.evacuations.put(row.domain, row.copy(isApplied = true))) }
    }

    private fun describe(row: EvacuationRow, upstreams: Int, underWay: Int, moved: Int): String {
        val value = if (row.isValueReadable) "" else " (its value can't be read)"
        val effect = when (upstreams) {
            0 -> "no listed upstream is in it"
            else -> "$upstreams upstreams get nothing more, $underWay requests under way there, $moved waiting move"
        }
        return "failure domain ${row.domain} is emptied$value: $effect"
    }

    private fun warnIfNothingIsLeft(step: GatewayStep): GatewayStep {
        val accepting = step.tables.upstreams.values.filter { it.isAccepting }
        val isNothingLeft = accepting.all { it.registration.domain in step.tables.evacuations }
        if (accepting.isEmpty() || !isNothingLeft) return step
        val domains = step.tables.evacuations.keys.joinToString()
        val message = "all upstreams are in emptied failure domains ($domains): requests are refused"
        return step.log(LogPart.MEMBERS, message)
    }
}
