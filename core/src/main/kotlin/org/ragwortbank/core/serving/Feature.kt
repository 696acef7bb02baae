package org.ragwortbank.core.serving

/**
 * A part of the product that is in force only where the settings name it.
 *
 * @property label name in the settings
 */
enum class Feature(val label: String) {
    /** A route that isn't public needs an API key, also where a configuration lists no accounts. */
    ACCOUNTS("tenants"),

    /** Failure domains can be emptied, upstreams can be cold, and routes and client accounts can have home regions. */
    PLACES("places"),

    /** Callers and upstreams may read slowly, and requests compete for memory and places. */
    PRESSURE("pressure"),

    /** The load on an upstream that has just started or recovered follows its answers. */
    PACE("pace"),
}
