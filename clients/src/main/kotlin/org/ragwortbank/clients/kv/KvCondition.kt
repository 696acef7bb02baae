package org.ragwortbank.clients.kv

/** Holds while [key] is at [revision]; zero means that the key does not exist. */
data class KvCondition(
    val key: String,
    val revision: Long,
)
