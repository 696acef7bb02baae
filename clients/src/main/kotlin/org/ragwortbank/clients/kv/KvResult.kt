package org.ragwortbank.clients.kv

/** Outcome of a call of the key-value service. */
sealed interface KvResult<out T> {
    /** The service answered. */
    data class Answered<T>(val value: T) : KvResult<T>

    /** No usable response arrived; a write may or may not have taken effect. */
    data class Unanswered(val cause: String) : KvResult<Nothing>
}
