package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.ServiceName

/** Whether upstreams of [service] have a pace. */
fun isPaced(tables: GatewayTables, service: ServiceName): Boolean =
    Feature.PACE in tables.settings.features && tables.config?.services?.containsKey(service) == true
