package org.ragwortbank.standins.drill

import kotlin.time.Duration

/**
 * A configuration that the operator has sent to the store; times are since the start of the drill.
 *
 * @property acknowledgedAt when the store acknowledged it, or what replaced it after the store had lost it
 */
data class PublishedConfig(val config: DrillConfig, val sentAt: Duration, val acknowledgedAt: Duration)
