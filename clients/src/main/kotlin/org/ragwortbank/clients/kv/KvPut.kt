package org.ragwortbank.clients.kv

/** A value to be stored. */
data class KvPut(
    val key: String,
    val value: String,
)
