package org.ragwortbank.standins.kv

/** How the key-value stand-in misbehaves. */
enum class KvFault {
    /** Works. */
    NONE,

    /** Closes every connection without an answer and does nothing. */
    DOWN,

    /** Performs writes but closes the connection without an answer. */
    LOSE_ANSWERS,
}
