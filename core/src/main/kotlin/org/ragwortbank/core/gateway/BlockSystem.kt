package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.crash.BlockRow
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Withdraws the requests under way that have a newly blocked trait, and has the store keep the blocks. */
class BlockSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        if (step.tables.blocks.isEmpty()) return step
        val isNew = step.tables.blocks.values.any { it.since == tick.now }
        val withdrawn = if (isNew) withdrawBlocked(step, tick.now) else step
        return withdrawn.tables.blocks.values.fold(withdrawn) { current, block -> keep(current, block, tick.now) }
    }

    /** Answers that have begun go on: their requests are none of those that crash upstreams. */
    private fun withdrawBlocked(step: GatewayStep, now: Timestamp): GatewayStep =
        step.tables.requests.values
            .filter { it.stage !is RequestStage.Relaying }
            .fold(step) { current, row ->
                val block = current.tables.blockOf(row)
                if (block == null) current else withdraw(current, row, block, now)
            }

    private fun withdraw(step: GatewayStep, row: RequestRow, block: BlockRow, now: Timestamp): GatewayStep {
        val refusal = block.refusal(now)
        val cancel = GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.BLOCKED)
        val cancelled = if (row.upstream == null) step else step.emit(cancel)
        return cancelled.fail(row.markMayHaveRun(), refusal.code, refusal.detail, refusal.retryAfter)
    }

    private fun keep(step: GatewayStep, block: BlockRow, now: Timestamp): GatewayStep {
        val age = now - block.since
        val tables = step.tables
        return when {
            block.isStored && age >= BLOCK_LIFETIME && tables.isKeeperOf(block.trait) ->
                step.emit(GatewayEffect.DropBlock(block.trait)).liftBlock(block.trait)
            block.isStored -> step
            block.savedAt?.let { now - it < SAVE_INTERVAL } == true -> step
            block.isOwn || (age >= FINDER_TIME && tables.isKeeperOf(block.trait)) ->
                step
                    .emit(GatewayEffect.SaveBlock(block.trait))
                    .update { it.copy(blocks = it.blocks.put(block.trait, block.copy(savedAt = now))) }
            else -> step
        }
    }

    /** One of the listed gateways acts for [trait] when the one that found it does not. */
    private fun GatewayTables.isKeeperOf(trait: CrashTrait): Boolean {
        val hash = RendezvousHash.hashOf(trait.toString())
        val names = peers.values.filter { it.isListed }.map { it.name } + identity.name
        return names.maxByOrNull { RendezvousHash.score(hash, RendezvousHash.hashOf(it)) } == identity.name
    }

    private companion object {
        val SAVE_INTERVAL = 2.seconds

        /** Time for which only the gateway that found a block asks the store to keep it. */
        val FINDER_TIME = 5.seconds
    }
}

/** Time after which requests with a blocked trait are tried again. */
private val BLOCK_LIFETIME = 24.hours

private const val MAX_BLOCKS = 256

/** Calls of the store and digests that were made before a block was replaced have arrived after this time. */
private val REPLACEMENT_MEMORY = 10.seconds

/** The block that [row] falls under; null when it may run. */
internal fun GatewayTables.blockOf(row: RequestRow): BlockRow? =
    if (blocks.isEmpty()) null else crashTraits(row).firstNotNullOfOrNull { blocks[it] }

/** The answer to requests that fall under this block. */
internal fun BlockRow.refusal(now: Timestamp): Refusal =
    Refusal.notRun(
        ResultCode.REQUEST_BLOCKED,
        "upstreams crash of requests with $trait",
        retryAfter = (BLOCK_LIFETIME - (now - since)).coerceAtLeast(MIN_RETRY_AFTER),
    )

/** Whether no further trait can be blocked. */
internal val GatewayTables.isBlockTableFull: Boolean get() = blocks.size >= MAX_BLOCKS

/** Refuses requests with [trait] from now on, and no longer those with narrower traits that it explains as well. */
internal fun GatewayStep.addBlock(trait: CrashTrait, isOwn: Boolean, now: Timestamp): GatewayStep {
    if (trait in tables.blocks || tables.isBlockTableFull) return this
    val block = BlockRow(trait, now, isOwn)
    val replaced = tables.crashes.replacedBy(trait)
    return replaced.fold(this) { step, narrower -> step.replaceBlock(narrower, now) }
        .update { it.copy(blocks = it.blocks.put(trait, block), crashes = it.crashes.explainedBy(trait)) }
}

/** Lets requests with [trait] run again, and keeps digests and late writes of the store from blocking them anew. */
private fun GatewayStep.replaceBlock(trait: CrashTrait, now: Timestamp): GatewayStep =
    liftBlock(trait).update { tables ->
        val recent = tables.replacedBlocks.filterValues { now - it < REPLACEMENT_MEMORY }.toPersistentMap()
        tables.copy(replacedBlocks = recent.put(trait, now))
    }

/** Whether a broader trait has lately taken the place of [trait]. */
internal fun GatewayTables.isReplaced(trait: CrashTrait, now: Timestamp): Boolean =
    replacedBlocks[trait]?.let { now - it < REPLACEMENT_MEMORY } ?: false

/** Refuses requests with [trait], because the store says so. */
internal fun GatewayStep.storeBlock(trait: CrashTrait, now: Timestamp): GatewayStep {
    val existing = tables.blocks[trait]
    return when {
        existing?.isStored == true -> this
        tables.isReplaced(trait, now) -> emit(GatewayEffect.DropBlock(trait))
        else -> addStoredBlock(existing, trait, now)
    }
}

private fun GatewayStep.addStoredBlock(existing: BlockRow?, trait: CrashTrait, now: Timestamp): GatewayStep {
    val added = if (existing != null) this else log(LogPart.CRASHES, "requests with $trait are refused, by the store")
    return added.addBlock(trait, isOwn = false, now).update { tables ->
        val block = tables.blocks[trait]
        if (block == null) tables else tables.copy(blocks = tables.blocks.put(trait, block.copy(isStored = true)))
    }
}

/** Lets requests with [trait] run again. */
internal fun GatewayStep.liftBlock(trait: CrashTrait): GatewayStep {
    if (trait !in tables.blocks) return this
    return log(LogPart.CRASHES, "requests with $trait may run again")
        .update { it.copy(blocks = it.blocks.remove(trait)) }
}
