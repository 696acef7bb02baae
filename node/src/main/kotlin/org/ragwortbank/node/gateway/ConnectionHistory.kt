package org.ragwortbank.node.gateway

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.ConnectionUse
import org.ragwortbank.core.tick.Timestamp

/**
 * What a connection to an upstream has carried.
 *
 * @property number unique among the connections of the process
 * @property openedAt when it was opened; null if that is unknown
 * @property carried number of exchanges that were completed on it
 * @property last the last of them; null before the first
 * @property requestIds ids of the requests that it has carried
 */
internal data class ConnectionHistory(
    val number: Long,
    val openedAt: Timestamp? = null,
    val carried: Int = 0,
    val last: CompletedExchange? = null,
    private val requestIds: PersistentSet<String> = persistentSetOf(),
) {
    /** Whether it may carry no further request. */
    val isUsedUp: Boolean get() = carried >= MAX_EXCHANGES

    /** The use of the connection by its next exchange. */
    val nextUse: ConnectionUse get() = ConnectionUse(number, carried, openedAt)

    /** This history with [exchange] completed. */
    fun after(exchange: CompletedExchange) =
        copy(carried = carried + 1, last = exchange, requestIds = requestIds.add(exchange.requestId))

    /**
     * Whether the connection may carry the request [id]. A second answer to an earlier request with the same id would
     * pass for the answer to this one.
     */
    fun mayCarry(id: String): Boolean = !isUsedUp && !hasCarried(id)

    /** Whether the connection has carried the request [id]. */
    fun hasCarried(id: String): Boolean = id in requestIds

    private companion object {
        /** Bounds the ids that are kept for each connection. */
        const val MAX_EXCHANGES = 128
    }
}

/** A request whose answer, with [status], was read completely. */
internal data class CompletedExchange(val requestId: String, val status: Int)
