package org.ragwortbank.node.wire

import kotlinx.collections.immutable.toPersistentSet
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import kotlin.time.Duration.Companion.milliseconds

internal fun SidecarCommand.toWire(): WireMessage =
    when (this) {
        is SidecarCommand.Cancel -> WireMessage.Cancel(run.toWire())
        is SidecarCommand.Dispatch ->
            WireMessage.Dispatch(
                run = run.toWire(),
                account = account.value,
                route = route.value,
                adapter = adapter?.toWire(),
                idempotent = isIdempotent,
                generate = (work as? Work.Generation)?.toWire(),
                plain = (work as? Work.ServiceCall)?.toWire(),
            )
    }

/** Returns the command in this frame; null if the frame is of another kind or has no work. */
internal fun WireMessage.toCommand(): SidecarCommand? =
    when (this) {
        is WireMessage.Cancel -> SidecarCommand.Cancel(run.toRunId())
        is WireMessage.Dispatch -> toDispatch()
        else -> null
    }

internal fun SidecarReport.toWire(): WireMessage =
    when (this) {
        is SidecarReport.Started ->
            WireMessage.Started(run.toWire(), head.status, head.headers.map { it.toWire() }, head.isStreamed)
        is SidecarReport.Chunk -> WireMessage.Chunk(run.toWire(), index, tokens, data.toByteArray())
        is SidecarReport.Completed -> WireMessage.Done(run.toWire(), chunkCount, usage?.toWire())
        is SidecarReport.Failed -> toWire()
        is SidecarReport.Digest ->
            WireMessage.Digest(resident.map { it.toWire() }, queuedCount, runningCount, isAccepting)
    }

/** Returns the report in this frame; null if the frame is of another kind. */
internal fun WireMessage.toReport(): SidecarReport? =
    when (this) {
        is WireMessage.Started ->
            SidecarReport.Started(run.toRunId(), ResponseHead(status, headers.toHeaders(), streamed))
        is WireMessage.Chunk -> SidecarReport.Chunk(run.toRunId(), index, tokens, ByteString(data))
        is WireMessage.Done ->
            SidecarReport.Completed(run.toRunId(), chunks, usage?.let { Usage(it.prompt, it.output) })
        is WireMessage.Failed -> toFailed()
        is WireMessage.Digest ->
            SidecarReport.Digest(resident.map { it.toAdapter() }.toPersistentSet(), queued, running, accepting)
        else -> null
    }

private fun WireMessage.Dispatch.toDispatch(): SidecarCommand? {
    val work = generate?.toWork() ?: plain?.toWork() ?: return null
    return SidecarCommand.Dispatch(
        run = run.toRunId(),
        account = AccountId(account),
        route = RouteName(route),
        adapter = adapter?.toAdapter(),
        isIdempotent = idempotent,
        work = work,
    )
}

private fun SidecarReport.Failed.toWire(): WireMessage =
    WireMessage.Failed(
        run = run.toWire(),
        code = refusal.code.number,
        execution = refusal.execution.name,
        detail = refusal.detail,
        retryAfterMs = refusal.retryAfter?.inWholeMilliseconds,
    )

private fun WireMessage.Failed.toFailed(): SidecarReport {
    val resultCode = ResultCode.entries.firstOrNull { it.number == code } ?: ResultCode.UPSTREAM_FAILED
    val execution = Execution.entries.firstOrNull { it.name == execution } ?: Execution.UNKNOWN
    return SidecarReport.Failed(run.toRunId(), Refusal(resultCode, execution, detail, retryAfterMs?.milliseconds))
}
