package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.HeldHead
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.tick.Timestamp

/** Why an answer that has begun isn't passed on; [label] is for log lines. */
internal enum class AnswerHold(val label: String) {
    /** Its upstream has turned out to run another version than the request was sent to. */
    OTHER_VERSION("its upstream runs another software version now"),

    /** The store doesn't keep yet at which version the stream begins. */
    RECORD("its record isn't saved yet"),

    /** Its upstream may have started again at another version. */
    DOUBT("its upstream may have started again, the list is read again"),
}

/** What holds the answer of [row] that [held] begins; null if it may be passed on. */
internal fun GatewayTables.holdOf(row: RequestRow, held: HeldHead): AnswerHold? =
    when {
        runsOtherVersion(row) -> AnswerHold.OTHER_VERSION
        row.needsRecord -> AnswerHold.RECORD
        isUpstreamInDoubt(row, held) -> AnswerHold.DOUBT
        else -> null
    }

private fun GatewayTables.runsOtherVersion(row: RequestRow): Boolean {
    val listed = row.sentTo?.let { upstreams[it.id] }?.registration ?: return false
    return listed.startedMillis != row.sentTo.startedMillis && listed.version != row.sentTo.version
}

/**
 * A request names the id of its upstream only, and an upstream that has started again may have that id at another
 * version. What a read of the list that was requested after the beginning of the answer says of it holds.
 */
private fun GatewayTables.isUpstreamInDoubt(row: RequestRow, held: HeldHead): Boolean {
    val isReadSince = streamVersions.storeReadAt?.let { it >= held.receivedAt } ?: false
    if (row.sentTo == null || isReadSince) return false
    val upstream = upstreams[row.sentTo.id]
    val isSettled = streamVersions.services[row.service]?.stored?.isSettled ?: true
    val mayBeStartingAgain = upstream == null || isSoonAfter(upstream.lostAt ?: startedAt.takeIf { !isSettled }, held)
    return when {
        !isConnectionUnread(held) -> !isSettled && mayBeStartingAgain
        mayBeStartingAgain || isLossUnread(upstream) -> true
        else -> !isSettled && isListOld(held.receivedAt)
    }
}

private fun isSoonAfter(lostAt: Timestamp?, held: HeldHead): Boolean =
    lostAt != null && held.receivedAt - lostAt <= VersionTimes.RESTART_DOUBT

/** Whether the connection on which the answer came was opened after the list was read. */
private fun GatewayTables.isConnectionUnread(held: HeldHead): Boolean {
    val openedAt = held.head.trace?.connection?.openedAt ?: return false
    return streamVersions.storeReadAt?.let { it < openedAt } ?: true
}

/** Whether a connection to [upstream] ended after the list was read. */
private fun GatewayTables.isLossUnread(upstream: UpstreamRow?): Boolean {
    val lostAt = upstream?.lostAt ?: return false
    return streamVersions.storeReadAt?.let { it < lostAt } ?: true
}

/** Whether [upstream] may run at another version than the list says, which is old at [now]. */
internal fun GatewayTables.isRestartUnread(upstream: UpstreamRow, now: Timestamp): Boolean =
    isLossUnread(upstream) && isListOld(now)

/** Whether this gateway is out of step: its list is older than reads usually leave it, or than its last suspension. */
private fun GatewayTables.isListOld(now: Timestamp): Boolean {
    val readAt = streamVersions.storeReadAt ?: return true
    return now - readAt > VersionTimes.STREAM_LEASE || catchUpUntil?.let { readAt < it } ?: false
}
