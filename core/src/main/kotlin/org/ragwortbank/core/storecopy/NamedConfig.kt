package org.ragwortbank.core.storecopy

import org.ragwortbank.core.tick.Timestamp

/** The newest [version] of the configuration that others have named, at [namedAt] first and [lastNamedAt] last. */
data class NamedConfig(
    val version: Long,
    val namedAt: Timestamp,
    val lastNamedAt: Timestamp = namedAt,
)
