package org.ragwortbank.core.model

/** An instance name, or a prefix of instance names followed by `*`. */
@JvmInline
value class UpstreamPattern(val value: String) {
    /** Returns whether [instance] matches this pattern. */
    fun matches(instance: InstanceName): Boolean =
        when {
            value.endsWith(WILDCARD) -> instance.value.startsWith(value.removeSuffix(WILDCARD))
            else -> instance.value == value
        }

    override fun toString(): String = value

    private companion object {
        const val WILDCARD = "*"
    }
}
