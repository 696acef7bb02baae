package org.ragwortbank.node.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_BODY_BYTES = 4 * 1_024 * 1_024
private const val DEFAULT_HEADER_BYTES = 16 * 1_024
private const val DEFAULT_UNSENT_BYTES = 8L * 1_024 * 1_024

/**
 * Limits of the HTTP front end.
 *
 * @property maxBodyBytes maximum length of a request body
 * @property maxHeaderBytes maximum length of the request line, and of all header fields together
 * @property receiveTimeout maximum time from the head of a request to its last byte
 * @property idleTimeout maximum time that a connection may be open without a request
 * @property maxConnections maximum number of open connections; further ones are closed
 * @property maxUnsentBytes maximum number of response bytes that wait for a slow caller; beyond it, its connection is
 *   closed
 * @property defaultMaxTokens output limit of requests that have none
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
