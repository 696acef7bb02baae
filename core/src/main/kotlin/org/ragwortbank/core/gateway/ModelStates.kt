package org.ragwortbank.core.gateway

import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Base models resident at the upstream, by its placer's latest digest, or else by its registration. */
internal val UpstreamRow.residentModels: Set<String>
    get() = digest?.residentModels?.takeIf { it.isNotEmpty() } ?: registration.residentModels

/** Whether the base model of [request] is resident at the upstream; true if it names none. */
internal fun UpstreamRow.hasModelFor(request: RequestRow): Boolean =
    request.call.model?.let { it in residentModels } ?: true

/** Whether one of [members] is likely loading the base model of [request]: it is configured, and one has no model. */
internal fun GatewayTables.isModelLoading(request: RequestRow, members: List<UpstreamRow>): Boolean {
    val models = config?.services?.get(request.service)?.engine?.models.orEmpty()
    return request.call.model in models && members.any { it.residentModels.isEmpty() }
}

/**
 * Refuses [row] while the engines of its service load their base model, with the likely remaining time as retry delay.
 *
 * A caller kept waiting would time out at about the moment at which the model is loaded; a refused one retries with a
 * full time-out.
 */
internal fun GatewayStep.refuseWhileModelLoads(row: RequestRow, now: Timestamp): GatewayStep {
    val missingSince = tables.modelMissingSince[row.service] ?: now
    val retryAfter = (MODEL_LOAD_TIME - (now - missingSince)).coerceAtLeast(MIN_MODEL_RETRY_AFTER)
    return update { it.copy(modelMissingSince = it.modelMissingSince.put(row.service, missingSince)) }
        .fail(row, ResultCode.NO_UPSTREAM, "the engines of ${row.service} are loading ${row.call.model}", retryAfter)
}

/** The tables after an engine of [service] was found with its base model resident. */
internal fun GatewayTables.clearModelMissing(service: ServiceName): GatewayTables =
    if (service in modelMissingSince) copy(modelMissingSince = modelMissingSince.remove(service)) else this

/** Usual time of a load: from an engine's own disk it takes less, from the weight store up to twice as long. */
private val MODEL_LOAD_TIME = 1_800.milliseconds
private val MIN_MODEL_RETRY_AFTER = 500.milliseconds
