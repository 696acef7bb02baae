package org.ragwortbank.core.tick

import kotlinx.collections.immutable.ImmutableList

/** What one tick is run with: the present time and the inputs that arrived since the last tick, in order. */
data class Tick<out I>(
    val now: Timestamp,
    val inputs: ImmutableList<I>,
)
