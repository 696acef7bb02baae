package org.ragwortbank.clients.kv

/** Receives the changes that a watch reports. */
interface KvWatchListener {
    /** The watch is in place, so that later changes are reported. */
    fun onReady()

    /** [key] was written or deleted. */
    fun onChange(key: String)

    /** The watch is lost; changes may have been missed. */
    fun onLost(cause: String)
}
