package org.ragwortbank.core.entry

/** How the attempt to record an idempotency key ended. */
enum class ClaimResult {
    /** This request holds the key and may run. */
    GRANTED,

    /** An earlier request holds the key. */
    TAKEN,

    /** The key-value service did not answer; a later read may show either. */
    UNAVAILABLE,
}
