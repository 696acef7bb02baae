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

/** Performs what processes decide, on the fake network and platform. */
internal class FleetEffects(private val settings: FleetSettings) {
    /** The tables after [process] has performed [effect]. */
    fun perform(tables: FleetTables, process: FakeProcess, effect: EntryEffect): FleetTables =
        when (effect) {
            is EntryEffect.SendToEntry -> send(tables, process, effect)
            is EntryEffect.SendToSidecar -> dispatch(tables, process, effect.command)
            is EntryEffect.ProposeEpoch -> propose(tables, process, effect)
            is EntryEffect.Refuse -> tables.record(FleetRecord.Refused(tables.now, effect.refusal.code))
            is EntryEffect.Log -> log(tables, process, effect.line)
            is EntryEffect.ProbeMember -> probe(tables, process, effect.member)
            EntryEffect.ReadEpoch -> readEpoch(tables, process)
            EntryEffect.Stopped -> stopped(tables, process)
            else -> tables
        }

    /** As [perform], for a process that was paused before it performed [effect]: the node sends no dispatch then. */
    fun performLate(tables: FleetTables, process: FakeProcess, effect: EntryEffect): FleetTables {
        val run = ((effect as? EntryEffect.SendToSidecar)?.command as? SidecarCommand.Dispatch)?.run
        return when (run) {
            null -> perform(tables, process, effect)
            else -> tables.plan(settings.latency, report(process, SidecarReport.Failed(run, STALE)))
        }
    }

    private fun probe(tables: FleetTables, process: FakeProcess, member: LimitMember): FleetTables {
        val parted = tables.partitions.any { it.parts(process.address, member.address, tables.now) }
        val refused = member.address !in tables.processes && member.address !in tables.lostHosts && !parted
        val ended = FleetEvent.Deliver(process.address, EntryInput.MemberProcessEnded(member))
        return if (refused) tables.plan(settings.latency * 2, ended) else tables
    }

    /** Lines about single requests are left out; the history has those as records. */
    private fun log(tables: FleetTables, process: FakeProcess, line: LogLine): FleetTables {
        val kept = line.part == LogPart.MEMBERS || (line.part == LogPart.LIMITS && "request" !in line.message)
        return if (kept) tables.record(FleetRecord.Logged(tables.now, process.address, line)) else tables
    }

    private fun send(tables: FleetTables, process: FakeProcess, effect: EntryEffect.SendToEntry): FleetTables {
        val own = effect.to == process.name
        val known = process.tables.membership.instances[effect.to]?.peerAddress
        val target = if (own) process.address else known
        val parted = target == null || tables.partitions.any { it.parts(process.address, target, tables.now) }
        val input = EntryInput.EntryMessageReceived(process.name, effect.message)
        return if (parted) tables else tables.plan(settings.latency, FleetEvent.Deliver(target.orEmpty(), input))
    }

    private fun dispatch(tables: FleetTables, process: FakeProcess, command: SidecarCommand): FleetTables {
        val work = (command as? SidecarCommand.Dispatch)?.work as? Work.Generation ?: return tables
        val reserved = work.promptTokens + work.maxTokens
        val used = (reserved * settings.usedShare).toLong().coerceAtLeast(1)
        val head = ResponseHead(OK, persistentListOf(), isStreamed = true)
        val started = SidecarReport.Started(command.run, head)
        val done = SidecarReport.Completed(command.run, 0, Usage(1, used - 1))
        return tables
            .record(FleetRecord.Admitted(tables.now, reserved, process.address))
            .plan(settings.latency, report(process, started))
            .plan(settings.answerTime, report(process, done))
    }

    private fun report(process: FakeProcess, report: SidecarReport): FleetEvent =
        FleetEvent.Deliver(process.address, EntryInput.SidecarReportReceived(FleetFixtures.upstream.name, report))

    private fun propose(tables: FleetTables, process: FakeProcess, effect: EntryEffect.ProposeEpoch): FleetTables {
        val platform = tables.platform
        val reached = platform.storeWorks(tables.now) && tables.now >= process.isolatedUntil
        val wins = reached && platform.epoch == effect.expected
        val next = if (wins) tables.copy(platform = platform.copy(epoch = effect.proposed)) else tables
        return readEpoch(next, process)
    }

    private fun readEpoch(tables: FleetTables, process: FakeProcess): FleetTables {
        val read = EntryInput.EpochRead(tables.platform.epoch, tables.now)
        val answered = tables.platform.storeAnswers(tables.now) && tables.now >= process.isolatedUntil
        val delivery = FleetEvent.Deliver(process.address, read)
        return if (answered) tables.plan(settings.storeLatency, delivery) else tables
    }

    private fun stopped(tables: FleetTables, process: FakeProcess): FleetTables =
        tables
            .plan(settings.latency, FleetEvent.Exit(process.address))
            .plan(settings.latency, FleetEvent.Unlisted(process.name))

    private companion object {
        const val OK = 200
        val STALE = Refusal.notRun(ResultCode.STALE_DISPATCH)
    }
}
