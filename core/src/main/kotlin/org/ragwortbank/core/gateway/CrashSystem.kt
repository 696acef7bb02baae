package org.ragwortbank.core.gateway

import org.ragwortbank.core.crash.Cause
import org.ragwortbank.core.crash.CrashPlace
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Records which requests upstreams had when they crashed, here and at the other gateways, and blocks what the requests
 * have in common that cause the crashes.
 *
 * Suspects are the requests whose answers had not begun: an upstream that crashes of a request does so when it begins
 * to answer it. A request whose answer goes on clears its traits of the crashes before.
 */
class CrashSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val received = tick.inputs.fold(step) { current, input -> receive(current, input, tick.now) }
        if (!received.tables.crashes.hasEvidence) return received
        return findCause(received.sweep(tick.now), tick.now)
    }

    private fun receive(step: GatewayStep, input: GatewayInput, now: Timestamp): GatewayStep =
        when (input) {
            is GatewayInput.AttemptFailed -> if (input.cause is AttemptFailure.ConnectionLost) {
                step.onAttempt(input.number, input.attempt) { recordLoss(step, it, now) }
            } else {
                step
            }
            is GatewayInput.AnswerHeadReceived ->
                step.onAttempt(input.number, input.attempt) { row -> step.update { it.recordSignOfLife(row, now) } }
            is GatewayInput.AnswerCompleted ->
                step.onAttempt(input.number, input.attempt) { row -> step.clearTraits(row, now) }
            is GatewayInput.PeerDigestReceived -> step.receiveCrashReports(input.digest, now)
            else -> step
        }

    private fun GatewayStep.onAttempt(
        number: RequestNumber,
        attempt: Int,
        change: (RequestRow) -> GatewayStep,
    ): GatewayStep = tables.requests[number]?.takeIf { it.attemptCount == attempt }?.let(change) ?: this

    /** The loss of a request at an upstream that is leaving is no crash. */
    private fun recordLoss(step: GatewayStep, row: RequestRow, now: Timestamp): GatewayStep {
        val registration = row.upstream?.let { step.tables.upstreams[it] }?.takeIf { it.isAccepting }?.registration
        val suspicions = suspicions(row)
        if (registration == null || suspicions.isEmpty() || row.isProven(now)) return step
        val crash = registration.incarnation
        val isNew = crash !in step.tables.crashes.rows
        val logged = if (isNew) step.log(LogPart.CRASHES, "upstream ${registration.id} may have crashed") else step
        return logged
            .update { tables ->
                tables.copy(
                    crashes = tables.crashes.update(crash, registration.place, now) {
                        it.withSuspects(suspicions, isOwn = true, now)
                    },
                )
            }
            .update { it.scheduleCauseSearch(now) }
    }

    /** Clears the traits of the answers that have gone on for long enough. */
    private fun GatewayStep.sweep(now: Timestamp): GatewayStep {
        val isDue = tables.crashesSweptAt?.let { now - it >= SWEEP_INTERVAL } ?: true
        if (!isDue) return this
        val version = tables.crashes.suspectsVersion
        return tables.requests.values
            .filter { it.clearedVersion != version && it.isProven(now) }
            .fold(this) { step, row ->
                step.clearTraits(row, now).update { it.put(row.copy(clearedVersion = version)) }
            }
            .update { it.explainByBlocks() }
            .update { it.copy(crashesSweptAt = now, crashes = it.crashes.withoutExpired(now)) }
    }

    private fun GatewayTables.explainByBlocks(): GatewayTables =
        copy(crashes = blocks.keys.fold(crashes) { table, trait -> table.explainedBy(trait) })

    private fun findCause(step: GatewayStep, now: Timestamp): GatewayStep {
        val isDue = step.tables.causeDueAt?.let { it <= now } ?: false
        if (!isDue) return step
        val cause = step.tables.crashes.cause(now, step.tables.settleTime, step.tables.hostCounts())
        return when (cause) {
            null -> step.update { it.copy(causeDueAt = it.nextCauseSearch(now)) }
            else -> step.blockCause(cause, now).update { it.copy(causeDueAt = now + SWEEP_INTERVAL) }
        }
    }

    private fun GatewayTables.hostCounts(): Map<ServiceName, Int> =
        (upstreams.values.map { it.registration.place } + crashes.rows.values.map { it.place })
            .distinct()
            .groupingBy { it.service }
            .eachCount()

    private fun GatewayStep.blockCause(cause: Cause, now: Timestamp): GatewayStep =
        when {
            cause.trait in tables.blocks -> this
            tables.isBlockTableFull -> log(LogPart.CRASHES, "no room to refuse requests with ${cause.trait}")
            else ->
                cause.replaced
                    .fold(log(LogPart.CRASHES, describe(cause))) { step, trait ->
                        step.emit(GatewayEffect.DropBlock(trait))
                    }
                    .addBlock(cause.trait, isOwn = true, now)
        }

    private fun describe(cause: Cause): String {
        val replaced = if (cause.replaced.isEmpty()) "" else ", in place of those with ${cause.replaced}"
        return "requests with ${cause.trait} are refused from now on$replaced: upstreams ${cause.upstreams} crashed " +
            "of ${cause.requestCount} different ones, and none was answered meanwhile"
    }

    private companion object {
        val SWEEP_INTERVAL = 50.milliseconds
    }
}

private val UpstreamRegistration.place: CrashPlace get() = CrashPlace(service, endpoint.host)

/** An answer that has gone on for this long shows that its request doesn't crash the upstream. */
private val PROOF_TIME = 250.milliseconds

private const val MAX_LOGGED_TRAITS = 20

/** Margin for a digest's way to this gateway. */
private val SETTLE_MARGIN = 100.milliseconds

/** Time after a crash in which the other gateways report what they know of it. */
internal val GatewayTables.settleTime: Duration get() = settings.busyPeerInterval(gatewayCount) + SETTLE_MARGIN

/** Searches for a common cause once the other gateways' reports of the latest crash are here. */
internal fun GatewayTables.scheduleCauseSearch(now: Timestamp): GatewayTables =
    if (causeDueAt != null) this else copy(causeDueAt = now + settleTime)

/** When the crashes that were too late for a search at [now] can be taken into one. */
private fun GatewayTables.nextCauseSearch(now: Timestamp): Timestamp? =
    crashes.rows.values
        .filter { it.isOpen && now - it.at < settleTime }
        .maxOfOrNull { it.at + settleTime }

private fun RequestRow.isProven(now: Timestamp): Boolean =
    (stage as? RequestStage.Relaying)?.let { now - it.beganAt >= PROOF_TIME } ?: false

private fun GatewayStep.clearTraits(row: RequestRow, now: Timestamp): GatewayStep {
    val beganAt = (row.stage as? RequestStage.Relaying)?.beganAt
    if (beganAt == null || !tables.crashes.hasEvidence) return this
    val traits = crashTraits(row).toSet()
    val cleared = tables.withClearedTraits(traits, minOf(now, beganAt + PROOF_TIME), now)
    return if (cleared === tables) this else update { cleared }.log(LogPart.CRASHES, describeClearing(row, traits))
}

private fun describeClearing(row: RequestRow, traits: Set<CrashTrait>): String =
    "requests with ${traits.take(MAX_LOGGED_TRAITS)}, ${traits.size} in all, are cleared of crashes: " +
        "${row.call.id} was answered"

private fun GatewayTables.withClearedTraits(
    traits: Set<CrashTrait>,
    until: Timestamp,
    now: Timestamp,
): GatewayTables {
    val cleared = crashes.clear(traits, until)
    if (cleared === crashes) return this
    val times = traits.associateWith { until }
    return copy(
        crashes = cleared,
        clearedTraits = recentlyClearedTraits(now).putAll(times),
        traitsClearedAt = now,
    )
}

/** An upstream that answers has not crashed. */
private fun GatewayTables.recordSignOfLife(row: RequestRow, now: Timestamp): GatewayTables {
    val registration = row.upstream?.let { upstreams[it] }?.registration
    if (registration == null || !crashes.hasEvidence) return this
    return copy(crashes = crashes.dismissIfAlive(registration.incarnation, now))
}
