package org.ragwortbank.core.sidecar

/** Why an upstream did not complete a run. */
sealed interface RunFailure {
    /** No connection could be made; nothing was sent. */
    data object NotConnected : RunFailure

    /** The engine does not hold the adapter, although it did before. */
    data object AdapterMissing : RunFailure

    /** The engine answered in the name of [foundAdapter], another adapter. */
    data class WrongAdapter(val foundAdapter: String) : RunFailure

    /** The upstream answered with an error [status] before it produced anything. */
    data class ErrorStatus(val status: Int) : RunFailure

    /** The connection broke or the answer was malformed after the request had been sent. */
    data class BrokenResponse(val detail: String) : RunFailure
}
