package org.ragwortbank.core.storecopy

import org.ragwortbank.core.tick.Timestamp

/** The newest [version] of the configuration that another gateway has named, at [namedAt] first. */
data class NamedConfig(
    val version: Long,
    val namedAt: Timestamp,
)
