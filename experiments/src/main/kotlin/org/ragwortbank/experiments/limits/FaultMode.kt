package org.ragwortbank.experiments.limits

/** Which faults happen in a run. */
enum class FaultMode {
    /** None. */
    HEALTHY,

    /** An entry crashes each minute and is replaced. */
    CRASHING,

    /** A host with an entry is lost each minute, and the entry is replaced. */
    LOSING_HOSTS,

    /** Faults of all kinds at random times. */
    FAULTY,
}
