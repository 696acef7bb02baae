package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.tick.Timestamp

/** Why an answer that has begun isn't passed on; [label] is for log lines. */
internal enum class AnswerHold(val label: String) {
    /** Its upstream has turned out to run another version than the request was sent to. */
    OTHER_VERSION("its upstream runs another software version now"),

    /** The store doesn't keep yet at which version the stream begins. */
    RECORD("its record isn't saved yet"),

    /** Its upstream failed lately and may have started again at another version. */
    DOUBT("its upstream failed lately, the list is read again"),
}

/** What holds the answer of [row] that began at [receivedAt]; null if it may be passed on. */
internal fun GatewayTables.holdOf(row: RequestRow, receivedAt: Timestamp): AnswerHold? =
    when {
        runsOtherVersion(row) -> AnswerHold.OTHER_VERSION
        row.needsRecord -> AnswerHold.RECORD
        isUpstreamInDoubt(row, receivedAt) -> AnswerHold.DOUBT
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
private fun GatewayTables.isUpstreamInDoubt(row: RequestRow, receivedAt: Timestamp): Boolean {
    val isSettled = streamVersions.services[row.service]?.stored?.isSettled ?: true
    val isReadSince = streamVersions.storeReadAt?.let { it >= receivedAt } ?: false
    if (row.sentTo == null || isSettled || isReadSince) return false
    val failedAt = upstreams[row.sentTo.id]?.let { it.failedAt ?: startedAt }
    return failedAt == null || receivedAt - failedAt <= VersionTimes.RESTART_DOUBT
}
