package org.ragwortbank.core.gateway

import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Base models that the upstream holds, by the newest word of it. */
internal val UpstreamRow.residentModels: Set<String>
    get() = digest?.models?.takeIf { it.isNotEmpty() } ?: registration.models

/** Whether the upstream holds the base model of [request], if it names one. */
internal fun UpstreamRow.hasModelFor(request: RequestRow): Boolean =
    request.call.model?.let { it in residentModels } ?: true

/** Whether one of [members] will hold the base model of [request] soon: it is configured, and one has no model yet. */
internal fun GatewayTables.isModelLoading(request: RequestRow, members: List<UpstreamRow>): Boolean {
    val models = config?.services?.get(request.service)?.engine?.models.orEmpty()
    return request.call.model in models && members.any { it.residentModels.isEmpty() }
}

/**
 * Refuses [row] while the engines of its service bring their base model, with the time at which it is likely there.
 *
 * A caller that is kept waiting gives up about when the model comes, one that is sent away returns with new patience.
 */
internal fun GatewayStep.refuseWhileModelLoads(row: RequestRow, now: Timestamp): GatewayStep {
    val missingSince = tables.modelMissingSince[row.service] ?: now
    val retryAfter = (MODEL_LOAD_TIME - (now - missingSince)).coerceAtLeast(MIN_MODEL_RETRY_AFTER)
    return update { it.copy(modelMissingSince = it.modelMissingSince.put(row.service, missingSince)) }
        .fail(row, ResultCode.NO_UPSTREAM, "the engines of ${row.service} are loading ${row.call.model}", retryAfter)
}

/** The tables after an engine of [service] was seen with its base model. */
internal fun GatewayTables.clearModelMissing(service: ServiceName): GatewayTables =
    if (service in modelMissingSince) copy(modelMissingSince = modelMissingSince.remove(service)) else this

/** Loads from an engine's own disk take less, those from the weight store up to twice as long. */
private val MODEL_LOAD_TIME = 1_800.milliseconds
private val MIN_MODEL_RETRY_AFTER = 500.milliseconds
