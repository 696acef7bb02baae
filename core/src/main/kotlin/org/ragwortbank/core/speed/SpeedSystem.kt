package org.ragwortbank.core.speed

import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sums up what is known of the upstreams' speeds for each service, once for all requests of the next moment. */
class SpeedSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val isDue = step.tables.speedsSummedAt?.let { tick.now - it >= INTERVAL } ?: true
        return if (isDue) step.update { it.withSpeedsSummed(tick.now) } else step
    }

    private companion object {
        /** Learned speeds change with the digests of placers, a few times a second. */
        val INTERVAL = 100.milliseconds
    }
}

/** These tables with the speed of each service as it is known at [now]. */
internal fun GatewayTables.withSpeedsSummed(now: Timestamp): GatewayTables =
    upstreamsByService.entries.fold(copy(speedsSummedAt = now)) { tables, (service, ids) ->
        val rows = ids.mapNotNull { upstreams[it] }
        val isUneven = service in speeds || rows.any { it.slowness != null }
        if (isUneven) tables.copy(speeds = tables.speeds.put(service, speedOf(rows, now))) else tables
    }

private fun GatewayTables.speedOf(rows: List<UpstreamRow>, now: Timestamp): ServiceSpeed {
    val lifetime = engineDigestLifetime
    val known = rows.mapNotNull { it.learnedMillisPerToken(now, lifetime) }.sorted()
    return ServiceSpeed(
        millisPerToken = known.getOrNull(known.size / 2),
        millisPerPromptToken = rows.fold(PromptReading()) { sum, row -> sum + row.reading }.millisPerToken,
    )
}

/** Time for one token of a run as its placer has learned it; null without a digest younger than [lifetime]. */
internal fun UpstreamRow.learnedMillisPerToken(now: Timestamp, lifetime: Duration): Double? =
    freshDigest(now, lifetime)?.millisPerToken?.takeIf { it > 0.0 }
