package org.ragwortbank.clients.kv

import java.util.Base64

/** This text in the Base64 form that the gateway expects. */
fun String.encodeBase64(): String = Base64.getEncoder().encodeToString(encodeToByteArray())

/** The text whose Base64 form this is. */
fun String.decodeBase64(): String = Base64.getDecoder().decode(this).decodeToString()
