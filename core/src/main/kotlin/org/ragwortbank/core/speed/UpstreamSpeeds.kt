package org.ragwortbank.core.speed

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/**
 * The speeds of a service's upstreams, as a gateway knows them.
 *
 * @property digestLifetime age above which a placer's digest isn't used
 */
class UpstreamSpeeds(
    private val upstreams: PersistentList<UpstreamRow>,
    private val now: Timestamp,
    private val digestLifetime: Duration,
) {
    /** Whether any of them has stated its momentary slowness; nothing is decided by speed otherwise. */
    val isUneven: Boolean by lazy(LazyThreadSafetyMode.NONE) { upstreams.any { it.slowness != null } }

    /** Median time for one token of a run, in milliseconds; null while no speed is known. */
    val usualMillisPerToken: Double? by lazy(LazyThreadSafetyMode.NONE) {
        val known = upstreams.mapNotNull(::learnedMillisPerToken).sorted()
        known.getOrNull(known.size / 2)
    }

    /** Time for one token of a run at [upstream] in milliseconds, the usual one where it isn't known; 0 if none is. */
    fun millisPerToken(upstream: UpstreamRow): Double =
        learnedMillisPerToken(upstream) ?: usualMillisPerToken ?: 0.0

    /** Time to read a prompt token at the usual upstream, in milliseconds; null while it isn't known. */
    val usualMillisPerPromptToken: Double? by lazy(LazyThreadSafetyMode.NONE) {
        upstreams.fold(PromptReading()) { sum, row -> sum + row.reading }.millisPerToken
    }

    /** Time that work takes at [upstream] now by the time that it usually takes at the median upstream. */
    fun slownessAt(upstream: UpstreamRow): Double {
        val lasting = usualMillisPerToken?.takeIf { it > 0.0 }?.let { millisPerToken(upstream) / it } ?: 1.0
        return lasting * (1.0 + (upstream.slowness?.excessAt(now) ?: 0.0))
    }

    private fun learnedMillisPerToken(upstream: UpstreamRow): Double? =
        upstream.freshDigest(now, digestLifetime)?.millisPerToken?.takeIf { it > 0.0 }
}
