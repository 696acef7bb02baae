package org.ragwortbank.clients.kv

import java.util.Base64

/** Encodes this text in Base64, as the etcd JSON gateway expects it. */
fun String.encodeBase64(): String = Base64.getEncoder().encodeToString(encodeToByteArray())

/** Decodes this Base64 text. */
fun String.decodeBase64(): String = Base64.getDecoder().decode(this).decodeToString()
