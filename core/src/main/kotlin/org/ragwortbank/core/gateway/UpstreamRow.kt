package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.pacing.ColdRow
import org.ragwortbank.core.pacing.PaceRow
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.speed.MomentarySlowness
import org.ragwortbank.core.speed.PromptReading
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Load as reported by an upstream in an answer, or by its placer in a digest.
 *
 * @property slowness time that work takes there at this moment by the usual time; null when it isn't stated
 */
data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slowness: Double? = null,
)

/**
 * Health of an upstream as observed from its answers.
 *
 * @property failures failed attempts since the last successful answer
 * @property blockedUntil end of the back-off, before which nothing new is sent; null without one
 * @property delayMillis moving average of the time to the first part of an answer, in milliseconds
 */
data class UpstreamHealth(
    val failures: Int = 0,
    val blockedUntil: Timestamp? = null,
    val delayMillis: Double = 0.0,
) {
    /** The health after a successful answer that began [delay] after the request was sent. */
    fun afterAnswer(delay: Duration): UpstreamHealth {
        val millis = delay.toDouble(DurationUnit.MILLISECONDS)
        return UpstreamHealth(delayMillis = delayMillis + (millis - delayMillis) * NEWEST_WEIGHT)
    }

    /** The health after a failed attempt; [backoff] doubles with each consecutive failure. */
    fun afterFailure(now: Timestamp, backoff: Duration): UpstreamHealth {
        val factor = 1 shl failures.coerceAtMost(MAX_DOUBLINGS)
        return copy(failures = failures + 1, blockedUntil = now + backoff * factor)
    }

    /** Whether nothing new is sent at [now] because of a failure. */
    fun isBackedOff(now: Timestamp): Boolean = blockedUntil?.let { it > now } ?: false

    private companion object {
        const val NEWEST_WEIGHT = 0.1
        const val MAX_DOUBLINGS = 3
    }
}

/**
 * An upstream and what this gateway knows of it.
 *
 * @property inFlight number of this gateway's requests that are under way there
 * @property inUse how many of those use each adapter
 * @property usedSinceDigest adapters that this gateway's requests were sent for since its last digest to the placer
 * @property digest latest digest of the placer beside it
 * @property previouslyResident versions of adapters that were resident before; it reloads those faster than others
 * @property reportedLoad latest load report, received at [loadReportedAt]
 * @property sentSinceReport requests sent by this gateway since [loadReportedAt]
 * @property answeredAt when the latest part of an answer's beginning arrived from it
 * @property tokensInFlight tokens of this gateway's requests that are under way there
 * @property tokensSinceDigest tokens of those that the latest digest of its placer can't contain
 * @property isLeaving whether it has said in an answer that it is about to stop
 * @property quietUntil until when it wants no requests, as it has said in an answer; null if it hasn't
 * @property sentAt when this gateway's latest request was sent there
 * @property failedAt when a request of this gateway last failed there without an answer
 * @property closedAt when it last closed a connection to this gateway that carried no request, sooner than expected
 * @property slowness how slow it is, as it has last stated in an answer; null if it never has
 * @property reading how long it takes to read prompts
 * @property answerHabits which traits its successes have
 * @property isSuperseded whether a later incarnation has the same endpoint, so that this one has terminated
 * @property isGone whether it has left the list and only an older copy of the store has it
 * @property cold whether it may be cold; null where its service has no bound for that, and until it is known
 * @property pace limit on this gateway's requests there; null where its service has none, and right after a start
 */
data class UpstreamRow(
    val registration: UpstreamRegistration,
    val inFlight: Int = 0,
    val inUse: PersistentMap<AdapterKey, Int> = persistentMapOf(),
    val usedSinceDigest: PersistentSet<AdapterKey> = persistentSetOf(),
    val digest: EngineDigest? = null,
    val digestReceivedAt: Timestamp? = null,
    val previouslyResident: PersistentMap<AdapterKey, Long> = persistentMapOf(),
    val reportedLoad: ReportedLoad? = null,
    val loadReportedAt: Timestamp? = null,
    val sentSinceReport: Int = 0,
    val health: UpstreamHealth = UpstreamHealth(),
    val answeredAt: Timestamp? = null,
    val tokensInFlight: Long = 0,
    val tokensSinceDigest: Long = 0,
    val isLeaving: Boolean = false,
    val quietUntil: Timestamp? = null,
    val isSuperseded: Boolean = false,
    val isGone: Boolean = false,
    val cold: ColdRow? = null,
    val sentAt: Timestamp? = null,
    val failedAt: Timestamp? = null,
    val closedAt: Timestamp? = null,
    val pace: PaceRow? = null,
    val slowness: MomentarySlowness? = null,
    val reading: PromptReading = PromptReading(),
    val answerHabits: AnswerHabits = AnswerHabits(),
) {
    /** Whether it accepts new work according to its registration and to itself. */
    val isAccepting: Boolean get() = registration.isAccepting && !isSuperseded && !isLeaving && !isGone

    /** When a connection to it last ended, with a request or without one; null if none did. */
    val lostAt: Timestamp? get() = listOfNotNull(failedAt, closedAt).maxOrNull()

    /** Whether this gateway has used an adapter there since its last digest to the placer. */
    val isInUse: Boolean get() = inUse.isNotEmpty() || usedSinceDigest.isNotEmpty()

    /** The latest digest; null if it is older than [lifetime]. */
    fun freshDigest(now: Timestamp, lifetime: Duration): EngineDigest? =
        digest.takeIf { digestReceivedAt != null && now - digestReceivedAt <= lifetime }

    /** Whether new work may be sent now. */
    fun isAvailable(now: Timestamp): Boolean =
        isAccepting && !isQuiet(now) && !health.isBackedOff(now)

    /** Whether it has asked not to get requests now. */
    fun isQuiet(now: Timestamp): Boolean = quietUntil?.let { now < it } ?: false

    /** This row with [received] as the latest digest of the placer. */
    fun withDigest(received: EngineDigest, now: Timestamp): UpstreamRow {
        val dropped = digest?.resident.orEmpty().filterKeys { it !in received.resident }
        val kept = if (previouslyResident.size > MAX_PREVIOUSLY_RESIDENT) persistentMapOf() else previouslyResident
        return copy(digest = received, digestReceivedAt = now, previouslyResident = kept.putAll(dropped))
            .copy(tokensSinceDigest = 0)
            .withReportedLoad(ReportedLoad(received.runningRequests, received.queuedRequests), now)
    }

    /** Estimated number of requests that are running or queued there. */
    val load: Int get() = maxOf(inFlight, (reportedLoad?.let { it.running + it.waiting } ?: 0) + unreported)

    /** Requests of this gateway that the latest report can't contain, without those that are answered by now. */
    private val unreported: Int get() = minOf(sentSinceReport, inFlight)

    /** Whether a request that is sent now would likely wait there before it begins to run. */
    val hasQueue: Boolean get() = load >= registration.slots || (reportedLoad?.waiting ?: 0) > 0

    /**
     * This row with [adapter] not resident, until its placer or its next registration reports otherwise; with no base
     * model resident when [adapter] is null.
     */
    fun withoutAdapter(adapter: AdapterKey?): UpstreamRow =
        when (adapter) {
            null -> copy(
                digest = null,
                digestReceivedAt = null,
                registration = registration.copy(residentModels = persistentSetOf()),
            )
            else -> copy(
                digest = digest?.let { it.copy(resident = it.resident.remove(adapter)) },
                registration = registration.copy(resident = registration.resident.remove(adapter)),
            )
        }

    /** This row with a request of [tokens] for [adapter] sent. */
    fun withRequestSent(adapter: AdapterKey?, tokens: Long = 0): UpstreamRow =
        copy(
            tokensInFlight = tokensInFlight + tokens,
            tokensSinceDigest = tokensSinceDigest + tokens,
            inFlight = inFlight + 1,
            sentSinceReport = sentSinceReport + 1,
            inUse = inUse.adjust(adapter, 1),
            usedSinceDigest = adapter?.let(usedSinceDigest::add) ?: usedSinceDigest,
        )

    /** This row with a request of [tokens] for [adapter] completed. */
    fun withRequestCompleted(adapter: AdapterKey?, tokens: Long = 0): UpstreamRow =
        copy(
            inFlight = (inFlight - 1).coerceAtLeast(0),
            inUse = inUse.adjust(adapter, -1),
            tokensInFlight = (tokensInFlight - tokens).coerceAtLeast(0),
        )

    /** This row with [load] as the latest report; unchanged if there is none. */
    fun withReportedLoad(load: ReportedLoad?, now: Timestamp): UpstreamRow =
        if (load == null) {
            this
        } else {
            copy(
                reportedLoad = load,
                loadReportedAt = now,
                sentSinceReport = 0,
                slowness = load.slowness?.let { MomentarySlowness(it, now) } ?: slowness,
            )
        }

    /** This row with an answer that held [facts]. */
    fun withAnswer(facts: AnswerFacts): UpstreamRow =
        if (facts.isSuccess) copy(answerHabits = answerHabits.after(facts.traits, facts.needlessTraits)) else this

    private fun PersistentMap<AdapterKey, Int>.adjust(
        adapter: AdapterKey?,
        delta: Int,
    ): PersistentMap<AdapterKey, Int> {
        if (adapter == null) return this
        val count = (this[adapter] ?: 0) + delta
        return if (count <= 0) remove(adapter) else put(adapter, count)
    }

    private companion object {
        /** Roughly the number of adapters that an engine's host memory caches. */
        const val MAX_PREVIOUSLY_RESIDENT = 400
    }
}
