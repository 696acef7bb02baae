package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.ColdStart
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Learns from the registrations which upstreams are cold, and which gateways may send to each of them. */
class ColdSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val isRead = tick.inputs.any { it is GatewayInput.StoreRead || it is GatewayInput.StoreChanged }
        val starts = coldStarts(step.tables)
        if (!isRead || starts.isEmpty()) return step
        val seats = ColdSeats(step.tables)
        val memberList = step.tables.memberList?.afterRead(tick.now) ?: MemberListRow(tick.now, tick.now)
        val read = step.update { it.copy(memberList = memberList) }
        return read.tables.upstreams.values.fold(read) { current, row ->
            val start = starts[row.registration.service]
            if (start == null) current else review(current, row, start, seats, tick.now)
        }
    }

    private fun coldStarts(tables: GatewayTables): Map<ServiceName, ColdStart> =
        tables.config?.services?.values.orEmpty()
            .mapNotNull { service -> service.cold?.let { service.name to it } }
            .toMap()

    private fun review(
        step: GatewayStep,
        row: UpstreamRow,
        start: ColdStart,
        seats: ColdSeats,
        now: Timestamp,
    ): GatewayStep {
        val learned = learn(step.tables, row, now)
        val isCold = learned.mayBeCold(start, now)
        val bound = ColdSplit.bound(start, step.tables.settings)
        val seat = if (isCold) seats.seatAt(row.registration.incarnation, bound) else null
        val isOdd = isOdd(row.registration.coldRemaining, start)
        val reviewed = learned.copy(isCold = isCold, seat = seat, isOddLogged = learned.isOddLogged || isOdd)
        val updated = if (isCold) reviewed else reviewed.copy(sentCount = 0)
        if (updated == row.cold) return step
        return step
            .logChange(row, learned, reviewed, learned.coldUntil(start) - now)
            .update { tables -> tables.updateUpstream(row.registration.id) { it.copy(cold = updated) } }
    }

    /** A figure that is missing or negative leaves what is known of this incarnation as it is. */
    private fun learn(tables: GatewayTables, row: UpstreamRow, now: Timestamp): ColdRow {
        val remaining = row.registration.coldRemaining?.takeIf { !it.isNegative() }
        val known = row.cold
        return when {
            known == null -> ColdRow(remaining ?: initiallyRemaining(tables, now), now)
            remaining == null || remaining == known.remaining -> known
            else -> known.copy(remaining = remaining, learnedAt = now)
        }
    }

    /** An upstream that was there when the whole system started is not cold unless it says so. */
    private fun initiallyRemaining(tables: GatewayTables, now: Timestamp): Duration? =
        Duration.ZERO.takeIf { tables.identity.isFirstStart && now - tables.startedAt < FIRST_READ_TIME }

    private fun isOdd(remaining: Duration?, start: ColdStart): Boolean =
        remaining != null && (remaining.isNegative() || remaining > start.longestDuration)

    private fun GatewayStep.logChange(
        row: UpstreamRow,
        before: ColdRow,
        after: ColdRow,
        remaining: Duration,
    ): GatewayStep {
        val upstream = "upstream ${row.registration.id}"
        val oddText = "$upstream registers that it is cold for ${row.registration.coldRemaining}, which can't be right"
        val logged = if (after.isOddLogged && !before.isOddLogged) log(LogPart.MEMBERS, oddText) else this
        return when {
            after.isCold && !before.isCold ->
                logged.log(LogPart.MEMBERS, "$upstream is cold for $remaining, ${after.seat} requests a second")
            !after.isCold && before.isCold ->
                logged.log(LogPart.MEMBERS, "$upstream is no longer cold, sent it ${after.sentCount} requests since")
            else -> logged
        }
    }

    private companion object {
        /** Time in which a process that starts has read the store, if that is up. */
        val FIRST_READ_TIME = 3.seconds
    }
}
