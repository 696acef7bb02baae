package org.ragwortbank.core.serving

import org.ragwortbank.core.model.KeyHash
import kotlin.time.Duration

/**
 * What decisions need to know of a request; its bytes stay with the connection.
 *
 * @property id the caller's name for the request
 * @property key hash of the key that came with it
 * @property callerTimeout how long the caller will wait; null when it doesn't say
 * @property model base model; null for a plain call
 * @property adapter adapter of that model; null for the base model itself
 * @property tokens prompt tokens and most output tokens together; null when the caller doesn't say
 */
data class ServingCall(
    val id: String,
    val host: String,
    val path: String,
    val key: KeyHash? = null,
    val callerTimeout: Duration? = null,
    val model: String? = null,
    val adapter: String? = null,
    val tokens: Long? = null,
) {
    /** The adapter with its model; null when the base model or a plain service is asked for. */
    val adapterKey: AdapterKey? get() = if (model != null && adapter != null) AdapterKey(model, adapter) else null
}
