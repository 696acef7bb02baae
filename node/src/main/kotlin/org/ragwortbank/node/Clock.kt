package org.ragwortbank.node

import org.ragwortbank.core.tick.Timestamp

/** The current time of the system's monotonic clock. */
internal fun now(): Timestamp = Timestamp(System.nanoTime())
