package org.ragwortbank.standins.demo

/** API keys of the large and the small account, and a key of the large one that a case revokes. */
internal data class DemoKeys(val large: String, val small: String, val revoked: String) {
    fun toList(): List<String> = listOf(large, small, revoked)
}
