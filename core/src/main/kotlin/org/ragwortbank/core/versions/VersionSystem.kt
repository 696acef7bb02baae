package org.ragwortbank.core.versions

import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Has the store keep the software versions of the services with resumable streams, as their upstreams come and go. */
class VersionSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val sweptAt = step.tables.streamVersions.sweptAt
        val isDue = sweptAt?.let { tick.now - it >= SWEEP_INTERVAL } ?: true
        return if (isDue) sweep(step, tick.now) else step
    }

    private fun sweep(step: GatewayStep, now: Timestamp): GatewayStep =
        step.tables.config?.demands.orEmpty()
            .filterValues { it.hasResumableStreams }.keys
            .filter { step.tables.hasVersions(it) }
            .fold(step) { current, service -> review(current, service, now) }
            .update { it.withoutNeedlessUnawaited() }
            .updateVersions { it.withoutExpired(now).copy(sweptAt = now) }

    private fun review(step: GatewayStep, service: ServiceName, now: Timestamp): GatewayStep {
        val listed = step.tables.listedVersions(service)
        val row = (step.tables.streamVersions.services[service] ?: VersionRow()).withListed(listed.keys, now)
        val plan = VersionPlan(row, listed, step.tables.completeEraOf(service, now), now)
        val next = plan.next().takeIf { step.tables.isListFresh(now) }
        val noted = row.copy(neededSince = next?.let { row.neededSince ?: now })
        val updated = step.updateVersions { all -> all.updateService(service) { noted } }
        val isDue = next != null && updated.tables.isWriter(service, noted, now)
        return if (next != null && isDue) updated.save(service, noted, next, now) else updated
    }

    private fun GatewayStep.save(
        service: ServiceName,
        row: VersionRow,
        next: ServiceVersions,
        now: Timestamp,
    ): GatewayStep =
        log(LogPart.MEMBERS, "asks the store for versions of $service: $next")
            .emit(GatewayEffect.SaveVersions(service, next, row.revision))
            .emit(GatewayEffect.RefreshStore)
            .updateVersions { all ->
                all.updateService(service) { row.copy(savedAt = now) }.copy(refresh = all.refresh.asked(now))
            }

    /** One of the listed gateways writes; the next ones do when nothing comes of it. */
    private fun GatewayTables.isWriter(service: ServiceName, row: VersionRow, now: Timestamp): Boolean {
        val isSaving = row.savedAt?.let { now - it < SAVE_INTERVAL } ?: false
        val needed = row.neededSince?.let { now - it } ?: Duration.ZERO
        return !isSaving && needed >= KEEPER_TIME * gatewaysBefore(service)
    }

    /** Number of the listed gateways that write the versions of [service] earlier than this one. */
    private fun GatewayTables.gatewaysBefore(service: ServiceName): Int {
        val hash = RendezvousHash.hashOf(service.value)
        val own = RendezvousHash.score(hash, RendezvousHash.hashOf(identity.name))
        return peers.values.count { it.isListed && RendezvousHash.score(hash, RendezvousHash.hashOf(it.name)) > own }
    }

    private fun GatewayTables.isListFresh(now: Timestamp): Boolean =
        streamVersions.storeReadAt?.let { now - it <= VersionTimes.STREAM_LEASE } ?: false

    private fun GatewayTables.listedVersions(service: ServiceName): Map<SoftwareVersion, Int> =
        upstreamsByService[service].orEmpty()
            .mapNotNull { upstreams[it]?.registration?.version }
            .groupingBy { it }
            .eachCount()

    /** Versions that this gateway sees for the first time count as listed until now. */
    private fun VersionRow.withListed(listed: Set<SoftwareVersion>, now: Timestamp): VersionRow {
        val known = listOfNotNull(latest?.base) + latest?.admitted.orEmpty()
        val times = known.associateWith { listedAt[it] ?: now } + listed.associateWith { now }
        return if (times == listedAt) this else copy(listedAt = times.toPersistentMap())
    }

    private companion object {
        val SWEEP_INTERVAL = 100.milliseconds
        val SAVE_INTERVAL = 2.seconds

        /** Time after which the next gateway asks the store too. */
        val KEEPER_TIME = 2.seconds
    }
}
