package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentSet
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.IdempotencyKey
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.result.Refusal

/** An action decided by the systems of an entry; the node performs them in order. */
sealed interface EntryEffect {
    /** An effect on the answer to a caller. */
    sealed interface OnCaller : EntryEffect {
        /** The request that is answered. */
        val request: RequestId
    }

    /** A call to the platform. */
    sealed interface OnPlatform : EntryEffect

    /** Send the answer's status and headers. */
    data class BeginAnswer(override val request: RequestId, val head: ResponseHead) : OnCaller

    /** Send the next chunk of the answer. */
    data class SendAnswerChunk(override val request: RequestId, val data: ByteString) : OnCaller

    /** Complete the answer. */
    data class CompleteAnswer(override val request: RequestId) : OnCaller

    /** End [request] with an error, also when part of the answer has been sent. */
    data class Refuse(override val request: RequestId, val refusal: Refusal) : OnCaller

    /** Send [command] to the sidecar on [to]. */
    data class SendToSidecar(val to: InstanceName, val command: SidecarCommand) : EntryEffect

    /** Send [message] to the entry on [to], which may be this one. */
    data class SendToEntry(val to: InstanceName, val message: EntryMessage) : EntryEffect

    /** Keep links open to exactly these instances. */
    data class SetLinks(val instances: PersistentSet<Instance>) : EntryEffect

    /** Probe whether the process of [member] has ended. */
    data class ProbeMember(val member: LimitMember) : EntryEffect

    /** Replace the limit epoch by compare-and-swap against [expected]. */
    data class ProposeEpoch(val expected: LimitEpoch?, val proposed: LimitEpoch) : OnPlatform

    /** Record that [request] holds [key], unless another request holds it. */
    data class Claim(val request: RequestId, val account: AccountId, val key: IdempotencyKey) : OnPlatform

    /** Remove the record of [key], which [request] holds without having run. */
    data class ReleaseClaim(val request: RequestId, val account: AccountId, val key: IdempotencyKey) : OnPlatform

    /** Read the operators' tables now. */
    data object ReadConfiguration : OnPlatform

    /** Read the limit epoch now. */
    data object ReadEpoch : OnPlatform

    /** Write [line] to the log. */
    data class Log(val line: LogLine) : EntryEffect

    /** The drain is over and the process can exit. */
    data object Stopped : EntryEffect
}
