package org.ragwortbank.node.http

import org.ragwortbank.core.model.KeyHash
import java.security.MessageDigest
import java.util.HexFormat

/**
 * The hash under which [key] is stored.
 *
 * Keys are compared by their hashes only, so that the time of a comparison tells nothing about a key.
 */
fun hashApiKey(key: String): KeyHash {
    val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
    return KeyHash(HexFormat.of().formatHex(digest))
}
