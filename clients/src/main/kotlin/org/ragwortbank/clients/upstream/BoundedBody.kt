package org.ragwortbank.clients.upstream

import java.io.ByteArrayOutputStream

/** Longest response, or line of a streamed response, in bytes; a longer one is treated as broken. */
const val MAX_RESPONSE_BYTES: Int = 16 * 1024 * 1024

/** Collects a response body of up to [MAX_RESPONSE_BYTES]; not thread-safe. */
internal class BoundedBody {
    private val content = ByteArrayOutputStream()

    /** Adds [bytes] if they fit and returns whether they did. */
    fun add(bytes: ByteArray): Boolean {
        val fits = content.size() + bytes.size <= MAX_RESPONSE_BYTES
        if (fits) content.writeBytes(bytes)
        return fits
    }

    /** All that was added. */
    fun bytes(): ByteArray = content.toByteArray()

    /** All that was added, as text. */
    fun text(): String = content.toString(Charsets.UTF_8)
}
