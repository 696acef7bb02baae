package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Refuses calls that fail the admission check and queues the others until their account grants tokens. */
class AdmissionSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { acc, input ->
            if (input is EntryInput.CallArrived) admit(acc, input.call, tick.now) else acc
        }

    private fun admit(step: EntryStep, call: Call, now: Timestamp): EntryStep =
        when (val admission = checkAdmission(step.tables, call, now)) {
            is Admission.Refused -> refuseNew(step, call, admission.refusal)
            is Admission.Allowed -> queueForCredit(step, newRequest(call, admission, now))
        }

    private fun newRequest(call: Call, admission: Admission.Allowed, now: Timestamp): Request =
        Request(
            call = call,
            account = admission.account,
            route = admission.route,
            idempotent = isRepeatable(call, admission.route),
            reservedTokens = admission.reservedTokens,
            receivedAt = now,
        )

    private fun queueForCredit(step: EntryStep, request: Request): EntryStep {
        val row = step.tables.credits[request.account] ?: CreditRow()
        val waiting = row.copy(waiting = row.waiting.add(request.call.id))
        return step.update { tables ->
            tables.putRequest(request).copy(
                credits = tables.credits.put(request.account, waiting),
                accountsNeedingCredit = tables.accountsNeedingCredit.add(request.account),
            )
        }
    }

    private fun refuseNew(step: EntryStep, call: Call, refusal: Refusal): EntryStep {
        val line = "request ${call.id} on ${call.route} refused: ${refusal.code.number} ${refusal.code}, not run"
        return step
            .log(LogPart.ADMISSION, line)
            .emit(EntryEffect.Refuse(call.id, refusal))
    }
}
