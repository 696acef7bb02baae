package org.ragwortbank.core.model

/** An HTTP header field. */
data class Header(
    val name: String,
    val value: String,
)
