package org.ragwortbank.core.model

/** Identifies a version of an adapter. */
data class AdapterRef(
    val name: String,
    val version: String,
) {
    /** Name under which engines load this version, unique per version. */
    val engineName: String get() = "$name@$version"

    override fun toString(): String = engineName
}
