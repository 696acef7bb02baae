package org.ragwortbank.core.entry

/** Result of an attempt to record an idempotency key. */
enum class ClaimResult {
    /** This request holds the key and may run. */
    GRANTED,

    /** An earlier request holds the key. */
    TAKEN,

    /** The key-value service did not answer, so the key may or may not have been recorded. */
    UNAVAILABLE,
}
