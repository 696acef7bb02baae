package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.InstanceRole
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Puts higher versions of the operators' tables in force and never a lower one. */
class ConfigurationSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { s, input ->
            when (input) {
                is EntryInput.ConfigurationRead -> read(s, input.configuration)
                is EntryInput.EntryMessageReceived -> noticed(s, input.message)
                else -> s
            }
        }

    private fun read(step: EntryStep, configuration: Configuration): EntryStep =
        when {
            configuration.version <= step.tables.configuration.version -> step
            else -> apply(step, configuration)
        }

    private fun apply(step: EntryStep, configuration: Configuration): EntryStep {
        val before = step.tables.configuration.version
        val applied = step
            .log(LogPart.CONFIG, "version ${configuration.version} is in force, before it was $before")
            .update { it.copy(configuration = configuration) }
            .update { it.copy(poolMembers = membersOfPools(it)) }
        return notifyPeers(cutWithdrawn(applied))
    }

    private fun notifyPeers(step: EntryStep): EntryStep {
        val self = step.tables.identity.member.name
        val notice = EntryMessage.ConfigNotice(step.tables.configuration.version)
        val peers = step.tables.membership.instances.values
            .filter { it.role == InstanceRole.ENTRY && it.name != self }
        return step.emitAll(peers.map { EntryEffect.SendToEntry(it.name, notice) })
    }

    private fun noticed(step: EntryStep, message: EntryMessage): EntryStep =
        when {
            message !is EntryMessage.ConfigNotice -> step
            message.version <= step.tables.configuration.version -> step
            else -> step.emit(EntryEffect.ReadConfiguration)
        }

    /** Ends the answers to callers whose key is withdrawn, except where the work may not be repeated. */
    private fun cutWithdrawn(step: EntryStep): EntryStep =
        step.tables.requests.values
            .filter { isWithdrawn(step.tables.configuration, it) }
            .fold(step) { s, request -> s.cancelRun(request).refuse(request, withdrawn(request)) }

    private fun isWithdrawn(configuration: Configuration, request: Request): Boolean {
        val credential = request.call.credential
        val protected = !request.idempotent && request.stage is Stage.Dispatched
        return credential != null && !request.route.open && !protected && credential !in configuration.keys
    }

    private fun withdrawn(request: Request): Refusal =
        when (request.stage) {
            is Stage.Dispatched -> Refusal(ResultCode.KEY_WITHDRAWN, Execution.RAN)
            else -> Refusal.notRun(ResultCode.KEY_UNKNOWN)
        }
}
