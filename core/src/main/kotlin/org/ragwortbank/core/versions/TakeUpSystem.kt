package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.fail
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/**
 * Binds each request that takes up a stream to the version that began it: by memory, by its record, or by a read of the
 * store, which is asked for once for all that wait.
 */
class TakeUpSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val rows = step.tables.waiting.mapNotNull { step.tables.requests[it] }
            .filter { it.route.isResumableStream && it.version == null && step.tables.hasVersions(it.service) }
        if (rows.isEmpty()) return step
        val decided = rows.filter { it.isTakeUp }.fold(step) { current, row -> decide(current, row, tick.now) }
        return askForRead(decided, tick.now)
    }

    private fun decide(step: GatewayStep, row: RequestRow, now: Timestamp): GatewayStep =
        when (val takeUp = step.tables.takeUpOf(row)) {
            is TakeUp.Known -> bind(step, row, takeUp, now)
            is TakeUp.Unknown ->
                step.refuse(row, takeUp.reason, isWorthwhile = takeUp.mayReturn)
            TakeUp.NeedsRead, TakeUp.NeedsVersions -> wait(step, row, now)
        }

    private fun bind(step: GatewayStep, row: RequestRow, takeUp: TakeUp.Known, now: Timestamp): GatewayStep {
        val stream = row.call.resumption?.stream
        val known = BegunStream(row.service, takeUp.version, now)
        return step
            .log(LogPart.ROUTING, "${row.describeTakeUp()}, which began at ${takeUp.version} by ${takeUp.source}")
            .updateVersions { all -> stream?.let { all.withBegun(it, known) } ?: all }
            .update { it.put(row.copy(version = takeUp.version)) }
    }

    private fun wait(step: GatewayStep, row: RequestRow, now: Timestamp): GatewayStep {
        val waited = now - row.arrivedAt
        val isSilent = step.tables.streamVersions.refresh.isUnansweredFor(VersionTimes.MAX_UNDECIDED, now)
        return when {
            isSilent || waited > VersionTimes.MAX_UNDECIDED ->
                step.refuse(row, "no read of the store in $waited", isWorthwhile = true)
            row.arrivedAt == now -> step.log(LogPart.ROUTING, "${row.describeTakeUp()}, waits for a read of the store")
            else -> step
        }
    }

    private fun GatewayStep.refuse(row: RequestRow, reason: String, isWorthwhile: Boolean): GatewayStep {
        val detail = "the version of the stream isn't known: $reason"
        return fail(row, ResultCode.VERSION_UNDECIDED, detail, RETRY_AFTER.takeIf { isWorthwhile })
    }

    /** One read at a time, requested after the latest arrival that it is to decide; again when it doesn't come. */
    private fun askForRead(step: GatewayStep, now: Timestamp): GatewayStep {
        val tables = step.tables
        val refresh = tables.streamVersions.refresh
        val left = tables.waiting.mapNotNull { tables.requests[it] }
            .filter { it.route.isResumableStream && it.version == null && tables.hasVersions(it.service) }
        val needsRead = left.any { it.isTakeUp && tables.takeUpOf(it) == TakeUp.NeedsRead }
        val needsVersions = left.any { tables.streamVersions.services[it.service]?.stored == null }
        val isDue = refresh.isRepeatDue(now) || (needsRead && refresh.unansweredSince == null)
        if (!isDue || !(needsRead || needsVersions)) return step
        return step.emit(GatewayEffect.RefreshStore).updateVersions { it.copy(refresh = refresh.asked(now)) }
    }

    private fun RequestRow.describeTakeUp(): String =
        "request ${call.id} takes up stream ${call.resumption?.stream ?: "without a name"} of $service"

    private companion object {
        val RETRY_AFTER = 500.milliseconds
    }
}
