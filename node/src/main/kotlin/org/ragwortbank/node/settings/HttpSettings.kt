package org.ragwortbank.node.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_BODY_BYTES = 4 * 1_024 * 1_024
private const val DEFAULT_HEADER_BYTES = 16 * 1_024
private const val DEFAULT_UNSENT_BYTES = 8L * 1_024 * 1_024

/**
 * Bounds of the HTTP front end.
 *
 * @property maxBodyBytes longest body of a request
 * @property maxHeaderBytes longest sum of a request's header fields
 * @property receiveTimeout longest time from the first byte of a request to its last
 * @property idleTimeout longest time that a connection may be open without a request
 * @property maxConnections connections open at once; further ones are closed
 * @property maxUnsentBytes answer bytes that may wait for a caller who reads slowly
 * @property defaultMaxTokens output bound of requests that give none
 */
data class HttpSettings(
    val maxBodyBytes: Int = DEFAULT_BODY_BYTES,
    val maxHeaderBytes: Int = DEFAULT_HEADER_BYTES,
    val receiveTimeout: Duration = 10.seconds,
    val idleTimeout: Duration = 60.seconds,
    val maxConnections: Int = 10_000,
    val maxUnsentBytes: Long = DEFAULT_UNSENT_BYTES,
    val defaultMaxTokens: Long = 256,
)
