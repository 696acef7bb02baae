package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode

/** Performs the effects of entry processes on the simulated network and platform. */
internal class FleetEffects(private val settings: FleetSettings) {
    /** The tables after [process] has performed [effect]. */
    fun perform(tables: FleetTables, process: SimulatedProcess, effect: EntryEffect): FleetTables =
        when (effect) {
            is EntryEffect.SendToEntry -> sendToEntry(tables, process, effect)
            is EntryEffect.SendToSidecar -> dispatch(tables, process, effect.command)
            is EntryEffect.ProposeEpoch -> proposeEpoch(tables, process, effect)
            is EntryEffect.Refuse -> tables.record(FleetRecord.Refused(tables.now, effect.refusal.code))
            is EntryEffect.Log -> log(tables, process, effect.line)
            is EntryEffect.ProbeMember -> probeMember(tables, process, effect.member)
            EntryEffect.ReadEpoch -> readEpoch(tables, process)
            EntryEffect.Stopped -> exitAfterDrain(tables, process)
            else -> tables
        }

    /** Like [perform], but fails a dispatch as stale: the node does not send dispatches decided before a suspension. */
    fun performAfterSuspension(tables: FleetTables, process: SimulatedProcess, effect: EntryEffect): FleetTables {
        val run = ((effect as? EntryEffect.SendToSidecar)?.command as? SidecarCommand.Dispatch)?.run
        return when (run) {
            null -> perform(tables, process, effect)
            else -> {
                val failed = SidecarReport.Failed(run, STALE_DISPATCH)
                tables.scheduleEvent(settings.messageLatency, reportDelivery(process, failed))
            }
        }
    }

    private fun probeMember(tables: FleetTables, process: SimulatedProcess, member: LimitMember): FleetTables {
        val isPartitioned = tables.partitions.any { it.separates(process.address, member.address, tables.now) }
        val isRefused =
            member.address !in tables.processes && member.address !in tables.lostHostAddresses && !isPartitioned
        val memberEnded = FleetEvent.Deliver(process.address, EntryInput.MemberProcessEnded(member))
        return if (isRefused) tables.scheduleEvent(settings.messageLatency * 2, memberEnded) else tables
    }

    /** Skips lines about single requests, which the history has as records of their own. */
    private fun log(tables: FleetTables, process: SimulatedProcess, line: LogLine): FleetTables {
        val isKept = line.part == LogPart.MEMBERS || (line.part == LogPart.LIMITS && "request" !in line.message)
        return if (isKept) tables.record(FleetRecord.Logged(tables.now, process.address, line)) else tables
    }

    private fun sendToEntry(
        tables: FleetTables,
        process: SimulatedProcess,
        effect: EntryEffect.SendToEntry,
    ): FleetTables {
        val isToSelf = effect.to == process.name
        val peerAddress = process.tables.membership.instances[effect.to]?.peerAddress
        val targetAddress = if (isToSelf) process.address else peerAddress
        val isUnreachable = targetAddress == null ||
            tables.partitions.any { it.separates(process.address, targetAddress, tables.now) }
        val input = EntryInput.EntryMessageReceived(process.name, effect.message)
        val delivery = FleetEvent.Deliver(targetAddress.orEmpty(), input)
        return if (isUnreachable) tables else tables.scheduleEvent(settings.messageLatency, delivery)
    }

    private fun dispatch(tables: FleetTables, process: SimulatedProcess, command: SidecarCommand): FleetTables {
        val work = (command as? SidecarCommand.Dispatch)?.work as? Work.Generation ?: return tables
        val reservedTokens = work.promptTokens + work.maxTokens
        val consumedTokens = (reservedTokens * settings.consumedShare).toLong().coerceAtLeast(1)
        val head = ResponseHead(OK, persistentListOf(), isStreamed = true)
        val started = SidecarReport.Started(command.run, head)
        val completed = SidecarReport.Completed(command.run, 0, Usage(1, consumedTokens - 1))
        return tables
            .record(FleetRecord.Admitted(tables.now, reservedTokens, process.address))
            .scheduleEvent(settings.messageLatency, reportDelivery(process, started))
            .scheduleEvent(settings.responseTime, reportDelivery(process, completed))
    }

    private fun reportDelivery(process: SimulatedProcess, report: SidecarReport): FleetEvent =
        FleetEvent.Deliver(process.address, EntryInput.SidecarReportReceived(FleetFixtures.upstream.name, report))

    private fun proposeEpoch(
        tables: FleetTables,
        process: SimulatedProcess,
        effect: EntryEffect.ProposeEpoch,
    ): FleetTables {
        val platform = tables.platform
        val isReachable = platform.isStoreReachable(tables.now) && tables.now >= process.isolatedUntil
        val isAccepted = isReachable && platform.epoch == effect.expected
        val changedTables = if (isAccepted) tables.copy(platform = platform.copy(epoch = effect.proposed)) else tables
        return readEpoch(changedTables, process)
    }

    private fun readEpoch(tables: FleetTables, process: SimulatedProcess): FleetTables {
        val input = EntryInput.EpochRead(tables.platform.epoch, tables.now)
        val isAnswered = tables.platform.isStoreResponding(tables.now) && tables.now >= process.isolatedUntil
        val delivery = FleetEvent.Deliver(process.address, input)
        return if (isAnswered) tables.scheduleEvent(settings.platformLatency, delivery) else tables
    }

    private fun exitAfterDrain(tables: FleetTables, process: SimulatedProcess): FleetTables =
        tables
            .scheduleEvent(settings.messageLatency, FleetEvent.Exit(process.address))
            .scheduleEvent(settings.messageLatency, FleetEvent.RemoveFromInstanceList(process.name))

    private companion object {
        const val OK = 200
        val STALE_DISPATCH = Refusal.notRun(ResultCode.STALE_DISPATCH)
    }
}
