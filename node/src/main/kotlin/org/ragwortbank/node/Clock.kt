package org.ragwortbank.node

import org.ragwortbank.core.tick.Timestamp

/** The present time on this process's monotonic clock. */
internal fun now(): Timestamp = Timestamp(System.nanoTime())
