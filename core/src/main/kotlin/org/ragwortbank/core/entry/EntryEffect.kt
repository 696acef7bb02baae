package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentSet
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AnswerHead
import org.ragwortbank.core.model.IdempotencyKey
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Refusal

/** What an entry does to the outside; the node performs these in order. */
sealed interface EntryEffect {
    /** An effect on a caller. */
    sealed interface OnCaller : EntryEffect {
        /** The caller's request. */
        val request: RequestId
    }

    /** A call of the platform. */
    sealed interface OnPlatform : EntryEffect

    /** Begin the answer to [request]. */
    data class BeginAnswer(override val request: RequestId, val head: AnswerHead) : OnCaller

    /** Send the next piece of the answer. */
    data class SendAnswerChunk(override val request: RequestId, val data: ByteString) : OnCaller

    /** The answer is complete. */
    data class CompleteAnswer(override val request: RequestId) : OnCaller

    /** Tell the caller why there is no complete answer, also when part of it has been sent. */
    data class Refuse(override val request: RequestId, val refusal: Refusal) : OnCaller

    /** Send [command] to the sidecar on [to]. */
    data class SendToSidecar(val to: InstanceName, val command: SidecarCommand) : EntryEffect

    /** Send [message] to the entry on [to], which may be this one. */
    data class SendToEntry(val to: InstanceName, val message: EntryMessage) : EntryEffect

    /** Keep links to exactly these instances. */
    data class SetLinks(val instances: PersistentSet<Instance>) : EntryEffect

    /** Find out whether the process of [member] has ended. */
    data class ProbeMember(val member: LimitMember) : EntryEffect

    /** Replace the limit epoch by compare-and-swap against [expected]. */
    data class ProposeEpoch(val expected: LimitEpoch?, val proposed: LimitEpoch) : OnPlatform

    /** Record that [request] runs under [key], unless another request has. */
    data class Claim(val request: RequestId, val account: AccountId, val key: IdempotencyKey) : OnPlatform

    /** Remove the record of [key], because [request] holds it and has not run. */
    data class ReleaseClaim(val request: RequestId, val account: AccountId, val key: IdempotencyKey) : OnPlatform

    /** Read the operators' tables now. */
    data object ReadConfiguration : OnPlatform

    /** Read the limit epoch now. */
    data object ReadEpoch : OnPlatform

    /** Write [line] to the log. */
    data class Log(val line: LogLine) : EntryEffect

    /** All work is done after a stop was asked for. */
    data object Stopped : EntryEffect
}
