package org.ragwortbank.core.speed

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.serving.UpstreamId

/** Prompt tokens that this gateway has sent to each upstream and whose answers have not begun. */
fun GatewayTables.unreadPromptTokens(): PersistentMap<UpstreamId, Long> =
    requests.values
        .mapNotNull { row -> (row.stage as? RequestStage.Sent)?.let { it.upstream to (row.call.promptTokens ?: 0) } }
        .groupingBy { it.first }
        .fold(0L) { sum, sent -> sum + sent.second }
        .toPersistentMap()
