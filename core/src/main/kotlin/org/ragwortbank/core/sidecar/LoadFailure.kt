package org.ragwortbank.core.sidecar

/** Why an engine does not hold an adapter after a load order. */
enum class LoadFailure {
    /** The engine or the weight store refused. */
    REFUSED,

    /** The engine has seen an order with a higher fencing number. */
    FENCED,

    /** No answer came in time; the adapter may be loaded later. */
    TIMEOUT,

    /** The engine could not be reached. */
    NOT_CONNECTED,
}
