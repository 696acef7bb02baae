package org.ragwortbank.standins.fleet

/**
 * Processes and settings of a fleet.
 *
 * @property slots adapter slots of each engine
 * @property tokenMillis time between two output tokens of an engine
 * @property responseTokens output tokens of an engine's response, unless the request allows fewer
 * @property serviceResponseMillis response time of a plain service
 * @property isQuiet whether entries and sidecars log warnings and errors only
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
