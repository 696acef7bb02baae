package org.ragwortbank.node.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

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
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val maxHeaderBytes: Int = 16 * 1024,
    val receiveTimeout: Duration = 10.seconds,
    val idleTimeout: Duration = 60.seconds,
    val maxConnections: Int = 10_000,
    val maxUnsentBytes: Long = 8L * 1024 * 1024,
    val defaultMaxTokens: Long = 256,
)
