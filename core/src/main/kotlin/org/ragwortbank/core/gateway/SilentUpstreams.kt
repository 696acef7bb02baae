package org.ragwortbank.core.gateway

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

private val MAX_SILENCE = 1_500.milliseconds

/**
 * Since when the upstream of [row] has begun no answer at all for longer than a sound one takes under load, from the
 * sending of the request on; null if it isn't so. The request itself goes on waiting; new ones go elsewhere.
 */
internal fun GatewayTables.silentSince(row: RequestRow, now: Timestamp): Timestamp? {
    val sent = (row.stage as? RequestStage.Sent).takeIf { row.heldHead == null } ?: return null
    val lastSign = upstreams[sent.upstream]?.answeredAt?.let { maxOf(it, sent.sentAt) } ?: sent.sentAt
    return (lastSign + MAX_SILENCE).takeIf { it < now }
}
