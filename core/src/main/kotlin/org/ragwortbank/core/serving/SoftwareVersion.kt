package org.ragwortbank.core.serving

/** Version of the software that an upstream runs, as it registers it; versions have no order. */
@JvmInline
value class SoftwareVersion(val value: String) {
    override fun toString(): String = value
}
