package org.ragwortbank.standins.demo

/** The keys of the demo. */
internal data class DemoKeys(val large: String, val small: String, val withdrawn: String) {
    /** All of them. */
    fun all(): List<String> = listOf(large, small, withdrawn)
}
