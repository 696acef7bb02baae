package org.ragwortbank.core.model

/** One version of one adapter. */
data class AdapterRef(
    val name: String,
    val version: String,
) {
    /** The name under which engines hold this version, different for each version. */
    val engineName: String get() = "$name@$version"

    override fun toString(): String = engineName
}
