package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.UpstreamEntry
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Load as an upstream told it in an answer. */
data class ReportedLoad(
    val running: Int,
    val waiting: Int,
)

/**
 * What answers have shown about an upstream.
 *
 * @property failures failed sends since the last sound answer
 * @property blockedUntil no new work before; null when there was no reason
 * @property delayMillis moving average of the time to the first part of an answer, in milliseconds
 */
data class UpstreamHealth(
    val failures: Int = 0,
    val blockedUntil: Timestamp? = null,
    val delayMillis: Double = 0.0,
) {
    /** The health after a sound answer that began [delay] after the request was sent. */
    fun afterAnswer(delay: Duration): UpstreamHealth {
        val millis = delay.toDouble(DurationUnit.MILLISECONDS)
        return UpstreamHealth(delayMillis = delayMillis + (millis - delayMillis) * WEIGHT_OF_NEWEST)
    }

    /** The health after a failed send; [pause] doubles with each failure in a row. */
    fun afterFailure(now: Timestamp, pause: Duration): UpstreamHealth {
        val factor = 1 shl failures.coerceAtMost(MAX_DOUBLINGS)
        return copy(failures = failures + 1, blockedUntil = now + pause * factor)
    }

    private companion object {
        const val WEIGHT_OF_NEWEST = 0.1
        const val MAX_DOUBLINGS = 3
    }
}

/**
 * An upstream and what this entry knows of it.
 *
 * @property inFlight requests of this entry that it has
 * @property using how many of those use each adapter
 * @property digest newest word of the placer beside it
 * @property past versions of adapters that it held earlier and dropped; it brings those back faster than others
 * @property told newest load that it told, and [toldAt] when
 * @property sentSince requests sent by this entry since [toldAt]
 * @property superseded whether a later incarnation listens where this one did, so that it has ended
 */
data class UpstreamRow(
    val entry: UpstreamEntry,
    val inFlight: Int = 0,
    val using: PersistentMap<AdapterKey, Int> = persistentMapOf(),
    val digest: EngineDigest? = null,
    val digestAt: Timestamp? = null,
    val past: PersistentMap<AdapterKey, Long> = persistentMapOf(),
    val told: ReportedLoad? = null,
    val toldAt: Timestamp? = null,
    val sentSince: Int = 0,
    val health: UpstreamHealth = UpstreamHealth(),
    val superseded: Boolean = false,
) {
    /** Whether it takes new work as far as the list tells. */
    val accepting: Boolean get() = entry.accepting && !superseded

    /** The digest unless it is older than [lifetime]. */
    fun freshDigest(now: Timestamp, lifetime: Duration): EngineDigest? =
        digest.takeIf { digestAt != null && now - digestAt <= lifetime }

    /** Whether new work may be sent now. */
    fun open(now: Timestamp): Boolean = accepting && (health.blockedUntil?.let { it <= now } ?: true)

    /** This row with [newer] as the newest word of the placer. */
    fun hear(newer: EngineDigest, now: Timestamp): UpstreamRow {
        val dropped = digest?.holds.orEmpty().filterKeys { it !in newer.holds }
        val kept = if (past.size > MAX_PAST) persistentMapOf() else past
        return copy(digest = newer, digestAt = now, past = kept.putAll(dropped))
            .withLoad(ReportedLoad(newer.running, newer.queued), now)
    }

    /** Requests that it has to serve, as far as is known. */
    val load: Int get() = maxOf(inFlight, (told?.let { it.running + it.waiting } ?: 0) + sentSince)

    /** This row with [adapter] not held, until its placer or its next entry says otherwise; all of it when null. */
    fun without(adapter: AdapterKey?): UpstreamRow =
        when (adapter) {
            null -> copy(digest = null, digestAt = null, entry = entry.copy(models = persistentSetOf()))
            else -> copy(
                digest = digest?.let { it.copy(holds = it.holds.remove(adapter)) },
                entry = entry.copy(adapters = entry.adapters.remove(adapter)),
            )
        }

    /** This row with a request for [adapter] sent. */
    fun sent(adapter: AdapterKey?): UpstreamRow =
        copy(inFlight = inFlight + 1, sentSince = sentSince + 1, using = using.change(adapter, 1))

    /** This row with a request for [adapter] ended. */
    fun ended(adapter: AdapterKey?): UpstreamRow =
        copy(inFlight = (inFlight - 1).coerceAtLeast(0), using = using.change(adapter, -1))

    /** This row with [load] as the newest word of it. */
    fun withLoad(load: ReportedLoad, now: Timestamp): UpstreamRow = copy(told = load, toldAt = now, sentSince = 0)

    private fun PersistentMap<AdapterKey, Int>.change(adapter: AdapterKey?, by: Int): PersistentMap<AdapterKey, Int> {
        if (adapter == null) return this
        val count = (this[adapter] ?: 0) + by
        return if (count <= 0) remove(adapter) else put(adapter, count)
    }

    private companion object {
        /** About as many as an engine's host memory keeps. */
        const val MAX_PAST = 400
    }
}
