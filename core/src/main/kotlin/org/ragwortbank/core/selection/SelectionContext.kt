package org.ragwortbank.core.selection

import org.ragwortbank.core.gateway.AdapterStates
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.serving.ServiceSpec
import org.ragwortbank.core.tick.Timestamp

/** A request that looks for an upstream at [now], with the tables of its gateway. */
class SelectionContext(
    val tables: GatewayTables,
    val request: RequestRow,
    val now: Timestamp,
) {
    /** The request's service as configured; null if the configuration doesn't name it. */
    val service: ServiceSpec? = tables.config?.services?.get(request.service)

    /** Hash of the request's adapter for rendezvous hashing. */
    val adapterHash: Long by lazy(LazyThreadSafetyMode.NONE) {
        RendezvousHash.hashOf(request.call.adapterKey.toString())
    }

    internal val adapterStates = AdapterStates(tables, request.call.adapterKey, now)
}
