package org.ragwortbank.core.sidecar

import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode

/** The refusal that is sent to the entry for [run] after [failure]. */
internal fun refusalFor(run: Run, failure: RunFailure): Refusal =
    when (failure) {
        RunFailure.NotConnected ->
            Refusal.notRun(ResultCode.NO_UPSTREAM, "the sidecar could not connect to its upstream")
        RunFailure.AdapterMissing ->
            Refusal.notRun(ResultCode.ADAPTER_LOAD_FAILED, "the adapter is not resident in the engine")
        is RunFailure.WrongAdapter ->
            mayHaveRun(
                ResultCode.WRONG_ADAPTER,
                "the engine answered with adapter '${failure.foundAdapter}', expected '${run.command.adapter}'",
            )
        is RunFailure.ErrorStatus ->
            mayHaveRun(ResultCode.UPSTREAM_FAILED, "the upstream answered with HTTP status ${failure.status}")
        is RunFailure.BrokenResponse -> mayHaveRun(ResultCode.UPSTREAM_FAILED, failure.detail)
    }

/** A refusal that reports the run as run, because the upstream may have started it. */
private fun mayHaveRun(code: ResultCode, detail: String): Refusal = Refusal(code, Execution.RAN, detail)
