package org.ragwortbank.core.sidecar

import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode

/** What an entry is told of a run that ended with [failure]. */
internal fun refusalFor(run: Run, failure: RunFailure): Refusal =
    when (failure) {
        RunFailure.NotConnected ->
            Refusal.notRun(ResultCode.NO_UPSTREAM, "the sidecar can't connect to its upstream")
        RunFailure.AdapterMissing ->
            Refusal.notRun(ResultCode.ADAPTER_LOAD_FAILED, "the engine does not hold the adapter")
        is RunFailure.WrongAdapter ->
            mayHaveRun(ResultCode.WRONG_ADAPTER, "found '${failure.foundAdapter}', expected '${run.command.adapter}'")
        is RunFailure.ErrorStatus ->
            mayHaveRun(ResultCode.UPSTREAM_FAILED, "the upstream answered with status ${failure.status}")
        is RunFailure.BrokenResponse -> mayHaveRun(ResultCode.UPSTREAM_FAILED, failure.detail)
    }

/** The upstream may have begun the work. */
private fun mayHaveRun(code: ResultCode, detail: String): Refusal = Refusal(code, Execution.RAN, detail)
