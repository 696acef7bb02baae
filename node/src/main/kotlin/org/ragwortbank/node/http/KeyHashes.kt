package org.ragwortbank.node.http

import org.ragwortbank.core.model.KeyHash
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Hashes [key] into the form in which it is stored.
 *
 * Only hashes are compared, so that the duration of a comparison reveals nothing about a key.
 */
fun hashApiKey(key: String): KeyHash {
    val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
    return KeyHash(HexFormat.of().formatHex(digest))
}
