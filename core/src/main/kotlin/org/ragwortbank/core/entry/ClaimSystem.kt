package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Records the idempotency key of each non-idempotent request before the request is dispatched. */
class ClaimSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val decided = tick.inputs.fold(step) { acc, input ->
            if (input is EntryInput.ClaimDecided) applyDecision(acc, input) else acc
        }
        val unclaimed = decided.tables.readyRequests.filter { id -> decided.tables.requests[id]?.needsClaim() == true }
        return unclaimed.fold(decided) { acc, id ->
            acc.tables.requests[id]?.let { requestClaim(acc, it, tick) } ?: acc
        }
    }

    private fun Request.needsClaim(): Boolean = !idempotent && !claimed && call.idempotencyKey != null

    private fun requestClaim(step: EntryStep, request: Request, tick: Tick<EntryInput>): EntryStep {
        val id = request.call.id
        val key = request.call.idempotencyKey ?: return step
        return step
            .update { it.putRequest(request.copy(stage = Stage.AwaitingClaim(tick.now))) }
            .update { it.copy(readyRequests = it.readyRequests.remove(id)) }
            .emit(EntryEffect.Claim(id, request.account, key))
    }

    private fun applyDecision(step: EntryStep, input: EntryInput.ClaimDecided): EntryStep {
        val request = step.tables.requests[input.request]
        if (request?.stage !is Stage.AwaitingClaim) return step
        return when (input.result) {
            ClaimResult.GRANTED -> readyWithClaim(step, request)
            ClaimResult.TAKEN -> step.refuse(request, Refusal(ResultCode.ALREADY_RAN, Execution.UNKNOWN))
            ClaimResult.UNAVAILABLE -> step.refuse(request, Refusal.notRun(ResultCode.CLAIM_UNAVAILABLE))
        }
    }

    private fun readyWithClaim(step: EntryStep, request: Request): EntryStep =
        step
            .log(LogPart.CLAIMS, "request ${request.call.id} holds its idempotency key")
            .update { it.putRequest(request.copy(claimed = true, stage = Stage.Ready)) }
            .update { it.copy(readyRequests = it.readyRequests.add(request.call.id)) }
}
