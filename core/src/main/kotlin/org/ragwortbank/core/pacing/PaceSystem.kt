package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Gives each upstream of a paced service its pace, and lets that follow the samples of its attempts by [rule]. */
class PaceSystem(
    private val rule: PaceRule = LoadFollowingPace(),
) : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val isTickLate = step.tables.pacedAt?.let { tick.now - it > LATE_TICK } ?: true
        val due = step.tables.upstreams.values.filter {
            isReviewDue(it.pace) && isPaced(step.tables, it.registration.service)
        }
        val review = PaceReview(if (due.isEmpty()) 1 else step.tables.gatewayCount, isTickLate, tick.now)
        return due
            .fold(step) { current, row -> apply(current, row, review) }
            .update { it.copy(pacedAt = tick.now) }
    }

    /** At full pace only samples can change anything. */
    private fun isReviewDue(pace: PaceRow?): Boolean =
        pace == null || pace.phase != PacePhase.FULL || pace.samples.isNotEmpty()

    private fun apply(step: GatewayStep, row: UpstreamRow, review: PaceReview): GatewayStep {
        val now = review.now
        val conditions = conditions(step.tables, row, review)
        val pace = row.pace ?: started(step.tables, row, conditions, now)
        val judged = pace.samples
            .fold(pace) { current, sample -> rule.afterSample(current, sample, conditions, now) }
            .heldBack(row, conditions, now)
        val isIdle = row.inFlight == 0 && !row.health.isBackedOff(now)
        val current = if (isIdle) rule.whileIdle(judged, conditions, now) else judged
        val reviewed = if (current.samples.isEmpty()) current else current.copy(samples = current.samples.clear())
        if (reviewed === row.pace) return step
        return step
            .logPaceChange(row, reviewed)
            .update { it.withPace(row, reviewed, now) }
            .update { it.recordDelays(row, pace.samples, review.isTickLate) }
    }

    private fun GatewayTables.withPace(row: UpstreamRow, pace: PaceRow, now: Timestamp): GatewayTables =
        updateUpstream(row.registration.id) { it.copy(pace = pace).tryAgainSoon(now) }

    private fun conditions(tables: GatewayTables, row: UpstreamRow, review: PaceReview): PaceConditions {
        val changedAt = row.pace?.changedAt
        val reportedAt = row.loadReportedAt
        val isLoadOfRound = changedAt != null && reportedAt != null && reportedAt > changedAt
        return PaceConditions(
            slots = row.registration.slots,
            gateways = review.gateways,
            inFlight = row.inFlight,
            failures = row.health.failures,
            load = row.reportedLoad.takeIf { isLoadOfRound },
            hasRecentLoad = reportedAt != null && review.now - reportedAt < RECENT_REPORT,
            norm = tables.delayNorms[row.registration.service] ?: DelayNorm(),
            isTickLate = review.isTickLate,
        )
    }

    /** An upstream that has run for some time and is listed anew has its full pace: it bears it already. */
    private fun started(
        tables: GatewayTables,
        row: UpstreamRow,
        conditions: PaceConditions,
        now: Timestamp,
    ): PaceRow {
        val startedMillis = row.registration.startedMillis
        val age = tables.identity.incarnation.milliseconds + (now - tables.startedAt) - startedMillis.milliseconds
        val ranBefore = if (startedMillis == 0L) now - tables.startedAt < FIRST_READ_TIME else age > RECENT_START
        val gatewayHash = RendezvousHash.hashOf(tables.identity.name)
        val upstreamHash = RendezvousHash.hashOf("${row.registration.incarnation}")
        return PaceRow(
            phase = if (ranBefore) PacePhase.FULL else PacePhase.RAMPING,
            limit = rule.startLimit(conditions),
            offset = RendezvousHash.fraction(gatewayHash, upstreamHash),
            changedAt = now,
        )
    }

    /** After a failure's back-off the limit rises again from what was left under way, as the others use the rest. */
    private fun PaceRow.heldBack(row: UpstreamRow, conditions: PaceConditions, now: Timestamp): PaceRow {
        val isHeldBack = phase != PacePhase.FULL && row.health.failures > 0 && row.health.isBackedOff(now)
        val left = maxOf(row.inFlight.toDouble(), rule.startLimit(conditions))
        return if (isHeldBack) copy(phase = PacePhase.RAMPING, limit = minOf(limit, left), metAt = now) else this
    }

    /** Since few requests are risked then, an upstream that failed is tried again sooner than without a pace. */
    private fun UpstreamRow.tryAgainSoon(now: Timestamp): UpstreamRow {
        val soon = now + LONGEST_BACKOFF
        val isLonger = health.blockedUntil?.let { it > soon } ?: false
        return if (isLonger) copy(health = health.copy(blockedUntil = soon)) else this
    }

    private fun GatewayTables.recordDelays(
        row: UpstreamRow,
        samples: List<PaceSample>,
        isTickLate: Boolean,
    ): GatewayTables {
        val began = samples.filterIsInstance<PaceSample.Began>()
        if (isTickLate || began.isEmpty()) return this
        val service = row.registration.service
        val norm = began.fold(delayNorms[service] ?: DelayNorm()) { norm, sample ->
            norm.afterAnswer(sample.delay, sample.promptTokens)
        }
        return copy(delayNorms = delayNorms.put(service, norm))
    }

    /** What is the same for all upstreams in a tick. */
    private class PaceReview(val gateways: Int, val isTickLate: Boolean, val now: Timestamp)

    private companion object {
        /** While requests are under way, ticks are at most half as far apart. */
        val LATE_TICK = 100.milliseconds

        val LONGEST_BACKOFF = 1.seconds

        /** An upstream that has reported within this time does so again soon. */
        val RECENT_REPORT = 1.seconds

        /** Time in which a process that starts has read the store, if that is up. */
        val FIRST_READ_TIME = 3.seconds

        /** An upstream that started less than this ago counts as just started; clocks may differ by less. */
        val RECENT_START = 20.seconds
    }
}
