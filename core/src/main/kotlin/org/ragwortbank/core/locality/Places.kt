package org.ragwortbank.core.locality

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.serving.UpstreamId

/** The listed upstreams in [domain]. */
internal fun GatewayTables.upstreamsIn(domain: FailureDomain): List<UpstreamRow> =
    upstreams.values.filter { it.registration.domain == domain }

/** Whether [request] may be served where [upstream] is. */
internal fun GatewayTables.isPlaceAllowed(request: RequestRow, upstream: UpstreamId): Boolean {
    val domain = upstreams[upstream]?.registration?.domain ?: return false
    return domain !in evacuations && homesOf(request).include(settings.regions[domain])
}

/** How many upstreams of the service of [request] it can't use because of where they are; empty if there are none. */
internal fun GatewayTables.describePlaces(request: RequestRow): String {
    val domains = upstreamsByService[request.service].orEmpty().mapNotNull { upstreams[it]?.registration?.domain }
    val homes = homesOf(request)
    val (evacuated, others) = domains.partition { it in evacuations }
    val outside = others.count { !homes.include(settings.regions[it]) }
    return when {
        evacuated.isEmpty() && outside == 0 -> ""
        else -> ", ${evacuated.size} in emptied failure domains, $outside outside its home regions"
    }
}

/** The emptied failure domains for an operator, each with what is odd about it. */
fun GatewayTables.describeEvacuations(): List<String> =
    evacuations.values.map { row ->
        val notes = listOfNotNull(
            "no listed upstream".takeIf { upstreamsIn(row.domain).isEmpty() },
            "value can't be read".takeIf { !row.isValueReadable },
        )
        if (notes.isEmpty()) row.domain.value else "${row.domain} (${notes.joinToString()})"
    }
