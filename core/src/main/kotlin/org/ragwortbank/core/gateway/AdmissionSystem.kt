package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServingAccount
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.seconds

/** Decides whether a request may run: its route, its key, its account's rate. */
class AdmissionSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(readUnread(step, tick.now)) { s, input ->
            when (input) {
                is GatewayInput.CallArrived -> receive(s, UnreadCall(input.number, input.call, tick.now), tick.now)
                is GatewayInput.CallerDisconnected -> forgetUnread(s, input.number)
                else -> s
            }
        }

    /** A process that has just started has its first configuration within a fraction of a second. */
    private fun receive(step: GatewayStep, unread: UnreadCall, now: Timestamp): GatewayStep =
        when {
            step.tables.config == null || step.tables.listens(now) ->
                step.update { it.copy(unread = it.unread.add(unread)) }
            else -> arrive(step, unread.number, unread.call, unread.at)
        }

    private fun forgetUnread(step: GatewayStep, number: RequestNumber): GatewayStep {
        val kept = step.tables.unread.removeAll { it.number == number }
        if (kept.size == step.tables.unread.size) return step
        return step.emit(GatewayEffect.RemoveRequest(number)).update { it.copy(unread = kept) }
    }

    private fun readUnread(step: GatewayStep, now: Timestamp): GatewayStep {
        val readable = step.tables.config != null && !step.tables.listens(now)
        val (due, waiting) = step.tables.unread.partition { readable || now - it.at > CONFIG_PATIENCE }
        if (due.isEmpty()) return step
        return due.fold(step) { s, call -> arrive(s, call.number, call.call, now) }
            .update { it.copy(unread = waiting.toPersistentList()) }
    }

    private fun arrive(step: GatewayStep, number: RequestNumber, call: ServingCall, now: Timestamp): GatewayStep =
        when (val authorization = step.tables.authorize(call, now)) {
            is Authorization.Denied -> step.refuseNew(number, call.id, authorization.refusal)
            is Authorization.Granted ->
                admit(step, newRow(number, call, authorization, now), authorization.account, now)
        }

    private fun newRow(
        number: RequestNumber,
        call: ServingCall,
        granted: Authorization.Granted,
        now: Timestamp,
    ): RequestRow {
        val timeout = minOf(call.deadline ?: granted.route.timeout, granted.route.timeout)
        return RequestRow(
            number = number,
            call = call,
            route = granted.route,
            service = granted.service,
            account = granted.account?.id,
            priority = granted.account?.priority ?: granted.route.priority,
            tokens = tokensOf(call, granted.account),
            arrivedAt = now,
            endsBy = now + timeout,
        )
    }

    private fun tokensOf(call: ServingCall, account: ServingAccount?): Long =
        if (account == null || !account.limited) 0 else call.tokens ?: account.plainTokens

    private fun admit(step: GatewayStep, row: RequestRow, account: ServingAccount?, now: Timestamp): GatewayStep {
        val tables = step.tables
        val bucket = account?.let { tables.buckets[it.id] }
            ?.refill(now, tables.unresponsivePeers(now), tables.gatewayCount)
        return when {
            tables.stoppingSince?.let { now - it > tables.settings.drainGrace } == true ->
                step.refuseNew(
                    row.number,
                    row.call.id,
                    Refusal.notRun(ResultCode.DRAINING, retryAfter = MIN_RETRY_AFTER),
                )
            account == null || bucket == null -> step.log(LogPart.ADMISSION, admitted(row)).update { it.put(row) }
            bucket.admits(row.tokens) ->
                step
                    .log(LogPart.ADMISSION, admitted(row) + ", ${row.tokens} tokens, ${bucket.level.toLong()} left")
                    .update { it.copy(buckets = it.buckets.put(account.id, bucket.take(row.tokens))).put(row) }
            else -> overRate(step, row, bucket)
        }
    }

    private fun admitted(row: RequestRow): String =
        "request ${row.call.id} of ${row.account ?: "nobody"} admitted on route ${row.route.name} to ${row.service}"

    private fun overRate(step: GatewayStep, row: RequestRow, bucket: FleetBucket): GatewayStep {
        val detail = "${row.account} asked for ${row.tokens} tokens, ${bucket.level.toLong()} left"
        val wait = bucket.waitFor(row.tokens).coerceAtLeast(MIN_RETRY_AFTER)
        return step.refuseNew(row.number, row.call.id, Refusal.notRun(ResultCode.RATE_EXCEEDED, detail, wait))
    }

    private companion object {
        val CONFIG_PATIENCE = 1.seconds
    }
}
