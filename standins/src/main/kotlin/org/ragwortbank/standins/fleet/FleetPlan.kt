package org.ragwortbank.standins.fleet

/**
 * What a fleet consists of.
 *
 * @property serviceResponseMillis time that a plain service takes for an answer
 * @property isQuiet whether processes log warnings only and are compiled fully
 * @property entrySettings TOML text added to each entry's settings
 * @property sidecarSettings TOML text added to each sidecar's `sidecar` table
 */
data class FleetPlan(
    val entries: Int = 2,
    val engines: Int = 2,
    val services: Int = 1,
    val slots: Int = 4,
    val tokenMillis: Int = 5,
    val responseTokens: Int = 24,
    val serviceResponseMillis: Int = 5,
    val isQuiet: Boolean = false,
    val entrySettings: String = "",
    val sidecarSettings: String = "",
)
