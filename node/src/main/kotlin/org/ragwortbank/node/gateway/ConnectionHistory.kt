package org.ragwortbank.node.gateway

import org.ragwortbank.core.gateway.ConnectionUse

/**
 * What a connection to an upstream has carried, for log lines.
 *
 * @property number unique among the connections of the process
 * @property carried number of exchanges that were completed on it
 * @property last the last of them; null before the first
 */
internal data class ConnectionHistory(
    val number: Long,
    val carried: Int = 0,
    val last: CompletedExchange? = null,
) {
    /** The use of the connection by its next exchange. */
    val nextUse: ConnectionUse get() = ConnectionUse(number, carried)

    /** This history with [exchange] completed. */
    fun after(exchange: CompletedExchange) = copy(carried = carried + 1, last = exchange)
}

/** A request whose answer, with [status], was read completely. */
internal data class CompletedExchange(val requestId: String, val status: Int)
