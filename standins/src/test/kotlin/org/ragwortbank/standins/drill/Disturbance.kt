package org.ragwortbank.standins.drill

import kotlin.time.Duration

/** A span in which the machine with the index [machine], or the store if that is null, was harmed. */
data class Disturbance(val machine: Int?, val from: Duration, val until: Duration)
