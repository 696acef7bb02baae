package org.ragwortbank.core.tick

import kotlinx.collections.immutable.ImmutableList

/** Input of one tick: the current time and the inputs that arrived since the previous tick, in order of arrival. */
data class Tick<out I>(
    val now: Timestamp,
    val inputs: ImmutableList<I>,
)
