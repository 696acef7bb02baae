package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.fail
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.StreamId
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

private val RETRY_AFTER = 500.milliseconds

/**
 * The tables after [row] was sent to the upstream of [registration]: a stream that begins at an admitted version stays
 * there from now on, because its record may be written.
 */
internal fun GatewayTables.withStreamSent(row: RequestRow, registration: UpstreamRegistration): GatewayTables {
    val version = registration.version
    if (version == null || !row.route.isResumableStream) return this
    val sent = row.copy(sentTo = registration)
    val isAdmitted = streamVersions.services[row.service]?.stored?.admitted?.contains(version) ?: false
    val begins = row.version == null && isAdmitted
    return if (begins) put(sent).withUnrecorded(sent, version) else put(sent)
}

private fun GatewayTables.withUnrecorded(row: RequestRow, version: SoftwareVersion): GatewayTables {
    val outbox = streamVersions.outbox
    val unrecorded = outbox.unrecorded.put(row.number, UnrecordedStream(row.service, version))
    return put(row.copy(version = version, needsRecord = true))
        .copy(streamVersions = streamVersions.copy(outbox = outbox.copy(unrecorded = unrecorded)))
}

/** The tables after the answer of [row] began to be passed on: its stream stays at the version that it was sent to. */
internal fun GatewayTables.noteBegun(row: RequestRow, now: Timestamp): GatewayTables {
    val version = row.sentTo?.version
    if (row.isTakeUp || version == null) return this
    val stream = StreamId(row.call.id)
    val known = streamVersions.withBegun(stream, BegunStream(row.service, version, now))
    val begunAt = UnrecordedStream(row.service, version)
    val isRecorded = row.version != null
    val outbox = known.outbox.withUnawaited(stream, begunAt, limit = if (isRecorded) 0 else maxUnawaited(row.service))
    return copy(streamVersions = known.copy(outbox = outbox))
}

/** Whether [upstream] runs a version to which [row] may be sent at [now]. */
internal fun GatewayTables.isVersionAllowed(row: RequestRow, upstream: UpstreamId, now: Timestamp): Boolean =
    bindingOf(row, now).reasonFor(upstreams[upstream]?.registration?.version) == null

/** Waits a moment for the version at which the stream of [row] may begin or go on, and refuses it after that. */
internal fun GatewayStep.waitForVersion(row: RequestRow, now: Timestamp): GatewayStep {
    val waited = now - row.arrivedAt
    if (waited <= VersionTimes.MAX_UNDECIDED) return this
    val detail = "no version of ${row.service} at which the stream may begin in $waited"
    return fail(row, ResultCode.VERSION_UNDECIDED, detail, RETRY_AFTER)
}
