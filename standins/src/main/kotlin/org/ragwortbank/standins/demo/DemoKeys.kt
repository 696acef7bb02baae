package org.ragwortbank.standins.demo

/** The keys of the demo. */
internal data class DemoKeys(val large: String, val small: String, val revoked: String) {
    /** All of them. */
    fun toList(): List<String> = listOf(large, small, revoked)
}
