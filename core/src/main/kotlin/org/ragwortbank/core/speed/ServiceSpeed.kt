package org.ragwortbank.core.speed

/**
 * What a gateway knows of the speed of a service's upstreams as a whole. A service has one from the time on at which
 * one of its upstreams has stated its momentary slowness; without, nothing is decided by speed.
 *
 * @property millisPerToken median time for one token of a run, in milliseconds; null while none is known
 * @property millisPerPromptToken time to read a token of a prompt, in milliseconds; null while it isn't known
 */
data class ServiceSpeed(
    val millisPerToken: Double? = null,
    val millisPerPromptToken: Double? = null,
)
