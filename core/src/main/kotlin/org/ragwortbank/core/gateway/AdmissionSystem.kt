package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.admission.RateMarginPolicy
import org.ragwortbank.core.admission.SharedMargin
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

/** Admits or refuses new requests by their route, their key and the rate of their account. */
class AdmissionSystem(
    private val margins: RateMarginPolicy = SharedMargin(),
) : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(resumeDeferred(step, tick.now)) { current, input ->
            when (input) {
                is GatewayInput.CallArrived ->
                    receive(current, DeferredCall(input.number, input.call, tick.now), tick.now)
                is GatewayInput.CallerDisconnected -> removeDeferred(current, input.number)
                else -> current
            }
        }

    /** Defers calls until the first configuration, which arrives within a fraction of a second after a start. */
    private fun receive(step: GatewayStep, deferred: DeferredCall, now: Timestamp): GatewayStep =
        when {
            step.tables.config == null || step.tables.isCatchingUp(now) ->
                step.update { it.copy(deferredCalls = it.deferredCalls.add(deferred)) }
            else -> decide(step, deferred, now)
        }

    private fun removeDeferred(step: GatewayStep, number: RequestNumber): GatewayStep {
        val kept = step.tables.deferredCalls.removeAll { it.number == number }
        if (kept.size == step.tables.deferredCalls.size) return step
        return step.emit(GatewayEffect.RemoveRequest(number)).update { it.copy(deferredCalls = kept) }
    }

    private fun resumeDeferred(step: GatewayStep, now: Timestamp): GatewayStep {
        val canResume = step.tables.config != null && !step.tables.isCatchingUp(now)
        val (due, stillDeferred) =
            step.tables.deferredCalls.partition { canResume || now - it.receivedAt > MAX_CONFIG_WAIT }
        if (due.isEmpty()) return step
        return due.fold(step) { current, deferred -> decide(current, deferred, now) }
            .update { it.copy(deferredCalls = stillDeferred.toPersistentList()) }
    }

    private fun decide(step: GatewayStep, deferred: DeferredCall, now: Timestamp): GatewayStep =
        when (val authorization = step.tables.authorize(deferred.call, now)) {
            is Authorization.Denied -> step.refuseWithoutRow(deferred.number, deferred.call.id, authorization.refusal)
            is Authorization.Granted ->
                admit(step, newRow(deferred, authorization, now), authorization.account, now)
        }

    /** The caller's time runs while its call is deferred. */
    private fun newRow(deferred: DeferredCall, granted: Authorization.Granted, now: Timestamp): RequestRow {
        val call = deferred.call
        val timeout = minOf(call.callerTimeout ?: granted.route.timeout, granted.route.timeout)
        return RequestRow(
            number = deferred.number,
            call = call,
            route = granted.route,
            service = granted.service,
            account = granted.account?.id,
            priority = granted.account?.priority ?: granted.route.priority,
            tokens = tokensOf(call, granted.account),
            arrivedAt = now,
            deadline = deferred.receivedAt + timeout,
        )
    }

    private fun tokensOf(call: ServingCall, account: ServingAccount?): Long =
        if (account == null || !account.isRateLimited) 0 else call.tokens ?: account.defaultRequestTokens

    private fun admit(step: GatewayStep, row: RequestRow, account: ServingAccount?, now: Timestamp): GatewayStep {
        val tables = step.tables
        val block = tables.blockOf(row)
        if (block != null) return step.refuseWithoutRow(row.number, row.call.id, block.refusal(now))
        val bucket = account?.let { tables.buckets[it.id] }
            ?.refill(now, tables.unresponsivePeers(now), tables.gatewayCount)
            ?.let { tables.withUseSampled(it, now) }
        return when {
            tables.stoppingSince?.let { now - it > tables.settings.admissionAfterStop } == true ->
                step.refuseWithoutRow(
                    row.number,
                    row.call.id,
                    Refusal.notRun(ResultCode.DRAINING, retryAfter = MIN_RETRY_AFTER),
                )
            account?.hasReadableLimits == false ->
                step.refuseWithoutRow(row.number, row.call.id, unreadableLimits(account))
            account == null || bucket == null ->
                step.log(LogPart.ADMISSION, row.describeAdmission()).update { it.put(row) }
            else -> step.admitWithinRate(row, bucket, margins.marginFor(tables, bucket, row.tokens, now), now)
        }
    }

    private fun unreadableLimits(account: ServingAccount): Refusal =
        Refusal.notRun(ResultCode.RATE_EXCEEDED, "the limits of ${account.id} can't be read", MIN_RETRY_AFTER)

    private companion object {
        val MAX_CONFIG_WAIT = 1.seconds
    }
}
