package org.ragwortbank.core.sidecar

/** Why a run was not completed by the upstream. */
sealed interface RunFailure {
    /** The connection could not be established; nothing was sent. */
    data object NotConnected : RunFailure

    /** The adapter is no longer resident in the engine. */
    data object AdapterMissing : RunFailure

    /** The engine answered with [foundAdapter] instead of the requested adapter. */
    data class WrongAdapter(val foundAdapter: String) : RunFailure

    /** The upstream answered with the HTTP error [status] and no output. */
    data class ErrorStatus(val status: Int) : RunFailure

    /** After the request was sent, the connection broke or the response was malformed. */
    data class BrokenResponse(val detail: String) : RunFailure
}
