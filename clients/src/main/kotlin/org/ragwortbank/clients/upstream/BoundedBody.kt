package org.ragwortbank.clients.upstream

import java.io.ByteArrayOutputStream

/** Longest answer, or line of a streamed answer, in bytes; what is longer counts as broken. */
const val MAX_RESPONSE_BYTES: Int = 16 * 1024 * 1024

/** Gathers an answer up to [MAX_RESPONSE_BYTES]; used by one thread. */
internal class BoundedBody {
    private val content = ByteArrayOutputStream()

    /** Adds [bytes] and tells whether they still fit. */
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
