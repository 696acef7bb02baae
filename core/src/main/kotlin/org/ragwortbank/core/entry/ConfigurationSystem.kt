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

/** Applies newer versions of the operators' tables and ignores older ones. */
class ConfigurationSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { acc, input ->
            when (input) {
                is EntryInput.ConfigurationRead -> applyIfNewer(acc, input.configuration)
                is EntryInput.EntryMessageReceived -> handleNotice(acc, input.message)
                else -> acc
            }
        }

    private fun applyIfNewer(step: EntryStep, configuration: Configuration): EntryStep =
        when {
            configuration.version <= step.tables.configuration.version -> step
            else -> putInForce(step, configuration)
        }

    private fun putInForce(step: EntryStep, configuration: Configuration): EntryStep {
        val previous = step.tables.configuration.version
        val applied = step
            .log(LogPart.CONFIG, "version ${configuration.version} is in force, previously $previous")
            .update { it.copy(configuration = configuration) }
            .update { it.copy(poolMembers = membersOfPools(it)) }
        return notifyPeers(endRequestsWithWithdrawnKey(applied))
    }

    private fun notifyPeers(step: EntryStep): EntryStep {
        val self = step.tables.identity.member.name
        val notice = EntryMessage.ConfigVersionNotice(step.tables.configuration.version)
        val peers = step.tables.membership.instances.values
            .filter { it.role == InstanceRole.ENTRY && it.name != self }
        return step.emitAll(peers.map { EntryEffect.SendToEntry(it.name, notice) })
    }

    private fun handleNotice(step: EntryStep, message: EntryMessage): EntryStep =
        when {
            message !is EntryMessage.ConfigVersionNotice -> step
            message.version <= step.tables.configuration.version -> step
            else -> step.emit(EntryEffect.ReadConfiguration)
        }

    /** Ends requests whose API key was withdrawn, except non-idempotent ones that were already dispatched. */
    private fun endRequestsWithWithdrawnKey(step: EntryStep): EntryStep =
        step.tables.requests.values
            .filter { hasWithdrawnKey(step.tables.configuration, it) }
            .fold(step) { acc, request -> acc.cancelRun(request).refuse(request, withdrawnKeyRefusal(request)) }

    private fun hasWithdrawnKey(configuration: Configuration, request: Request): Boolean {
        val credential = request.call.credential
        val mustNotBeEnded = !request.idempotent && request.stage is Stage.Dispatched
        val isKeyUsed = credential != null && !request.route.allowsAnonymous
        return isKeyUsed && !mustNotBeEnded && credential !in configuration.keys
    }

    private fun withdrawnKeyRefusal(request: Request): Refusal =
        when (request.stage) {
            is Stage.Dispatched -> Refusal(ResultCode.KEY_WITHDRAWN, Execution.RAN)
            else -> Refusal.notRun(ResultCode.KEY_UNKNOWN)
        }
}
