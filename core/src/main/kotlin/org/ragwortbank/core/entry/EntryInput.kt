package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/** An event that the systems of an entry react to. */
sealed interface EntryInput {
    /** A caller's request was received completely. */
    data class CallArrived(val call: Call) : EntryInput

    /** The caller closed its connection before the answer was complete. */
    data class CallerDisconnected(val request: RequestId) : EntryInput

    /** A sidecar sent [report]. */
    data class SidecarReportReceived(val from: InstanceName, val report: SidecarReport) : EntryInput

    /** Another entry, or this one itself, sent [message]. */
    data class EntryMessageReceived(val from: InstanceName, val message: EntryMessage) : EntryInput

    /** The link to [instance] was opened. */
    data class LinkOpened(val instance: InstanceName) : EntryInput

    /** The link to [instance] closed; messages sent before may or may not have arrived. */
    data class LinkClosed(val instance: InstanceName) : EntryInput

    /** The operators' tables were read. */
    data class ConfigurationRead(val configuration: Configuration) : EntryInput

    /** The instance list was read by a call made at [requestedAt]. */
    data class InstancesRead(val instances: PersistentList<Instance>, val requestedAt: Timestamp) : EntryInput

    /** The limit epoch was read by a call made at [requestedAt]; null when there is none yet. */
    data class EpochRead(val epoch: LimitEpoch?, val requestedAt: Timestamp) : EntryInput

    /** The address of [member] refused a connection, so its process has ended. */
    data class MemberProcessEnded(val member: LimitMember) : EntryInput

    /** The attempt to record the idempotency key of [request] has a result. */
    data class ClaimDecided(val request: RequestId, val result: ClaimResult) : EntryInput

    /** The process was asked to drain and stop, [requestedAgo] before this input. */
    data class StopRequested(val requestedAgo: Duration = Duration.ZERO) : EntryInput
}
