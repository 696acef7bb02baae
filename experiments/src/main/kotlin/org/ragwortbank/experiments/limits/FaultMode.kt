package org.ragwortbank.experiments.limits

/** The faults injected into a run. */
enum class FaultMode {
    /** No faults. */
    HEALTHY,

    /** An entry process crashes each minute and is replaced; its host stays reachable. */
    CRASHING,

    /** The host of an entry fails each minute, and the entry is replaced. */
    LOSING_HOSTS,

    /** Random kinds of faults at random times. */
    FAULTY,
}
