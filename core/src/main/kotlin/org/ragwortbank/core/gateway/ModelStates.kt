package org.ragwortbank.core.gateway

/** Base models that the upstream holds, by the newest word of it. */
internal val UpstreamRow.heldModels: Set<String>
    get() = digest?.models?.takeIf { it.isNotEmpty() } ?: entry.models

/** Whether the upstream holds the base model of [request], if it names one. */
internal fun UpstreamRow.serves(request: RequestRow): Boolean =
    request.call.model?.let { it in heldModels } ?: true

/** Whether one of [members] will hold the base model of [request] soon: it is configured, and one has no model yet. */
internal fun GatewayTables.modelComes(request: RequestRow, members: List<UpstreamRow>): Boolean {
    val models = config?.services?.get(request.service)?.engine?.models.orEmpty()
    return request.call.model in models && members.any { it.heldModels.isEmpty() }
}
