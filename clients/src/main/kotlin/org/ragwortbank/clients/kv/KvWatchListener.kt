package org.ragwortbank.clients.kv

/** Hears of changes in the key-value service. */
interface KvWatchListener {
    /** The watch is in place, so that later changes are reported. */
    fun onReady()

    /** [key] was written or deleted. */
    fun onChange(key: String)

    /** The watch is lost; changes may have been missed. */
    fun onLost(cause: String)
}
