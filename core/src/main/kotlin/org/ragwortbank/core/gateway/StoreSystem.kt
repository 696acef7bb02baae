package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import org.ragwortbank.core.locality.evacuate
import org.ragwortbank.core.locality.liftEvacuation
import org.ragwortbank.core.locality.liftedEvacuations
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.storecopy.checkConfig
import org.ragwortbank.core.storecopy.dropLifted
import org.ragwortbank.core.storecopy.enterCopy
import org.ragwortbank.core.storecopy.goneAmong
import org.ragwortbank.core.storecopy.isAwaited
import org.ragwortbank.core.storecopy.isOfNewEra
import org.ragwortbank.core.storecopy.liftStoredBlock
import org.ragwortbank.core.storecopy.markGone
import org.ragwortbank.core.storecopy.notePresent
import org.ragwortbank.core.storecopy.noteWritten
import org.ragwortbank.core.storecopy.withoutOutdated
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.afterStoreLoss
import org.ragwortbank.core.versions.applyVersionChange
import org.ragwortbank.core.versions.missingStreamRecords
import org.ragwortbank.core.versions.settledAcross
import org.ragwortbank.core.versions.updateVersions
import org.ragwortbank.core.versions.versionsChangedUnseen

/**
 * Applies the contents and changes of the store: configuration, upstreams, adapter versions, other gateways, blocks,
 * evacuations, and the software versions of streams.
 */
class StoreSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(step) { current, input ->
            when (input) {
                is GatewayInput.StoreRead -> recordRead(read(current, input, tick.now), input.requestedAt)
                is GatewayInput.StoreChanged -> recordRead(change(current, input, tick.now), input.requestedAt)
                else -> current
            }
        }

    private fun read(step: GatewayStep, input: GatewayInput.StoreRead, now: Timestamp): GatewayStep =
        if (step.tables.isOfNewEra(input.position)) {
            readCopy(step, input, now)
        } else {
            applySnapshot(step.moveTo(input.position, now), input.contents, now)
                .update { it.notePresent(input.contents) }
        }

    private fun readCopy(step: GatewayStep, input: GatewayInput.StoreRead, now: Timestamp): GatewayStep {
        val contents = step.tables.withoutOutdated(input.contents, now)
        val gone = step.tables.goneAmong(contents)
        val entered = step
            .dropLifted(input.contents, now)
            .enterCopy(contents, input.position, now)
            .moveTo(input.position, now)
            .update { it.afterStoreLoss(now, it.settledAcross(input)) }
        return applySnapshot(entered, contents, now).markGone(gone)
    }

    private fun change(step: GatewayStep, input: GatewayInput.StoreChanged, now: Timestamp): GatewayStep =
        applyAll(step.moveTo(input.position, now), input.changes, now)
            .update { it.notePresent(input.changes).noteWritten(input.changes) }

    private fun recordRead(step: GatewayStep, requestedAt: Timestamp): GatewayStep =
        recordConfirmation(step.updateVersions { it.afterRead(requestedAt) }, requestedAt)

    private fun recordConfirmation(step: GatewayStep, requestedAt: Timestamp): GatewayStep {
        val checked = step.checkConfig(requestedAt)
        val confirmedAt = checked.tables.confirmedAt
        val isKnown = confirmedAt != null && confirmedAt >= requestedAt
        val isConfirmed = checked.tables.isConfigNewest && !checked.tables.isConfigOutdated && !isKnown
        return if (isConfirmed) checked.update { it.copy(confirmedAt = requestedAt) } else checked
    }

    private fun applySnapshot(step: GatewayStep, contents: PersistentList<StoreChange>, now: Timestamp): GatewayStep {
        val upstreams = contents.mapNotNull { (it as? StoreChange.UpstreamRegistered)?.registration?.id }.toSet()
        val peers = contents.mapNotNull { (it as? StoreChange.PeerRegistered)?.name }.toSet()
        val removedUpstreams = step.tables.upstreams.keys
            .filter { it !in upstreams && !step.tables.isAwaited(it) }
            .map { StoreChange.UpstreamRemoved(it) }
        val removedPeers = step.tables.peers.values
            .filter { it.isListed && it.name !in peers && !step.tables.isAwaited(it) }
            .map { StoreChange.PeerRemoved(it.name) }
        val blocks = contents.mapNotNull { (it as? StoreChange.BlockSet)?.trait }.toSet()
        val liftedBlocks = step.tables.blocks.values
            .filter { it.isStored && it.trait !in blocks }
            .map { StoreChange.BlockLifted(it.trait) }
        val removals = removedUpstreams + removedPeers + liftedBlocks +
            step.tables.liftedEvacuations(contents) + step.tables.missingStreamRecords(contents)
        val hasConfig = contents.any { it is StoreChange.ConfigSet || it is StoreChange.ConfigUnreadable }
        val missing = if (hasConfig) emptyList() else listOf(StoreChange.ConfigUnreadable)
        val applied = applyAll(step, step.tables.versionsChangedUnseen(contents) + contents + removals + missing, now)
        return applied.update { it.copy(versions = agedVersions(step.tables, it, now)) }
    }

    /** A snapshot doesn't show when a version was published; the grace of its predecessor counts as over. */
    private fun agedVersions(
        before: GatewayTables,
        after: GatewayTables,
        now: Timestamp,
    ): PersistentMap<AdapterKey, NewestVersion> =
        after.versions.entries
            .filter { (adapter, newest) -> before.versions[adapter] != newest }
            .fold(after.versions) { aged, (adapter, newest) ->
                aged.put(adapter, newest.copy(learnedAt = now - after.settings.previousVersionLifetime))
            }

    private fun applyAll(step: GatewayStep, changes: List<StoreChange>, now: Timestamp): GatewayStep =
        changes.fold(step) { current, change -> apply(current, change, now) }

    private fun apply(step: GatewayStep, change: StoreChange, now: Timestamp): GatewayStep =
        when (change) {
            is StoreChange.ConfigSet -> step.applyConfig(change.config, now).compareWithStored(change.config)
            StoreChange.ConfigUnreadable -> step.doubtConfig()
            is StoreChange.UpstreamRegistered -> step.registerUpstream(change.registration)
            is StoreChange.UpstreamRemoved -> step.removeUpstream(change.id, now)
            is StoreChange.NewestVersionSet -> step.update { it.recordVersion(change, now) }
            is StoreChange.PeerRegistered -> step.update { it.registerPeer(change, now) }
            is StoreChange.BlockSet -> step.storeBlock(change.trait, now)
            is StoreChange.BlockLifted -> step.liftStoredBlock(change.trait, now)
            is StoreChange.DomainEvacuated -> step.evacuate(change, now)
            is StoreChange.EvacuationLifted -> step.liftEvacuation(change.domain, now)
            is StoreChange.PeerRemoved -> step.update { it.unlistPeer(change.name) }
            is StoreChange.VersionsSet, is StoreChange.VersionsRemoved -> step.applyVersionChange(change, now)
            is StoreChange.StreamsRecorded, is StoreChange.StreamRecordRemoved -> step.applyVersionChange(change, now)
        }
}

private fun GatewayStep.moveTo(position: StorePosition, now: Timestamp): GatewayStep =
    update { it.copy(storePosition = position, streamVersions = it.streamVersions.inEra(position.era, now)) }
