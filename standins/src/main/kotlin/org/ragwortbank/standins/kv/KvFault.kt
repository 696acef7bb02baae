package org.ragwortbank.standins.kv

/** A fault of the key-value stand-in. The control path takes these names in lower case. */
enum class KvFault {
    /** Works normally. */
    NONE,

    /** Closes every connection without a response and executes nothing. */
    DOWN,

    /** Executes transactions that change a key, but closes the connection without a response. */
    LOSE_ANSWERS,
}
