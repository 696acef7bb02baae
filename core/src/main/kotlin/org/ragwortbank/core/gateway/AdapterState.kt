package org.ragwortbank.core.gateway

/**
 * State of a request's adapter at an upstream.
 *
 * @property label name of the state in log lines
 */
enum class AdapterState(val label: String) {
    /** The newest version is resident, or the request needs no adapter. */
    RESIDENT("PRESENT"),

    /** The previous version is resident, and the newest was published recently enough to still use it. */
    PREVIOUS_VERSION("PREVIOUS"),

    /** The adapter is loading. */
    LOADING("COMING"),

    /** It must be loaded, but was resident there before, so that the load is fast. */
    CACHED("WARM"),

    /** It must be loaded. */
    ABSENT("ABSENT"),

    /** An older version is in use, so that a load would wait for the requests that use it. */
    OUTDATED("OUTDATED"),
    ;

    /** Whether a request can be sent at once. */
    val isUsable: Boolean get() = this == RESIDENT || this == PREVIOUS_VERSION
}
