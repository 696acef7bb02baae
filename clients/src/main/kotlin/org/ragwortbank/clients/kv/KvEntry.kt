package org.ragwortbank.clients.kv

/** A stored value; [revision] changes with each write of the key. */
data class KvEntry(
    val value: String,
    val revision: Long,
)
