package org.ragwortbank.core.sidecar

/** Why a load command did not make an adapter resident. */
enum class LoadFailure {
    /** The engine or the weight store refused the load. */
    REFUSED,

    /** The engine has received a command with a higher fencing token. */
    FENCED,

    /** The engine did not answer in time; it may still complete the load. */
    TIMEOUT,

    /** The engine could not be reached. */
    NOT_CONNECTED,
}
