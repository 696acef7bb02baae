package org.ragwortbank.core.serving

import org.ragwortbank.core.model.KeyHash
import kotlin.time.Duration

/**
 * The properties of a request that decisions depend on; its bytes stay with the connection.
 *
 * @property id request ID chosen by the caller
 * @property key hash of the caller's API key; null when the request has none
 * @property callerTimeout how long the caller will wait; null when the request doesn't say
 * @property model base model; null for a request to a service without models
 * @property adapter adapter of [model]; null for the base model itself
 * @property tokens sum of prompt tokens and the maximum of output tokens; null when the request doesn't say
 * @property promptTokens tokens of the prompt; null when the request doesn't say
 * @property sharedPromptParts parts of the prompt without the last, which belongs to this request alone
 * @property fingerprint equal for repeats of a request; null when it isn't known
 * @property resumption the broken stream that it takes up; null for a request that takes up none
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
    val promptTokens: Long? = null,
    val sharedPromptParts: PromptParts = PromptParts.NONE,
    val fingerprint: RequestFingerprint? = null,
    val resumption: StreamResumption? = null,
) {
    /** Tokens that the answer may have; 0 when the request doesn't say. */
    val answerTokens: Long
        get() = if (tokens == null || promptTokens == null) 0 else (tokens - promptTokens).coerceAtLeast(0)

    /** The requested adapter; null for the base model itself or a service without models. */
    val adapterKey: AdapterKey? get() = if (model != null && adapter != null) AdapterKey(model, adapter) else null
}
