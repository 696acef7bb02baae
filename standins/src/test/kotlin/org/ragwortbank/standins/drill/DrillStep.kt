package org.ragwortbank.standins.drill

import kotlin.time.Duration

/** An act and its time since the start of the plan. */
data class DrillStep(val at: Duration, val act: DrillAct)
