package org.ragwortbank.core.versions

import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.tick.Timestamp

/** A stream of [service] of which this gateway knows since [notedAt] that it goes on at [version]. */
data class BegunStream(
    val service: ServiceName,
    val version: SoftwareVersion,
    val notedAt: Timestamp,
)
