package org.ragwortbank.core.storecopy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.liftBlock
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.seconds

/** A copy is some seconds old: it has no block that was lifted earlier than that. */
private val LIFTED_MEMORY = 10.seconds

/** Lets requests with [trait] run again, because the store no longer has it; an older copy doesn't bring it back. */
internal fun GatewayStep.liftStoredBlock(trait: CrashTrait, now: Timestamp): GatewayStep =
    liftBlock(trait).update { tables ->
        val recent = tables.liftedBlocks.filterValues { now - it < LIFTED_MEMORY }.toPersistentMap()
        tables.copy(liftedBlocks = recent.put(trait, now))
    }

/** Has the store keep all blocks again, unless the first read of its copy shows that this has them. */
internal fun GatewayTables.withBlocksUnsaved(): GatewayTables =
    copy(blocks = blocks.mapValues { (_, block) -> block.copy(isStored = false, savedAt = null) }.toPersistentMap())

/** Drops the blocks in the [contents] of a copy that have been lifted since. */
internal fun GatewayStep.dropLifted(contents: PersistentList<StoreChange>, now: Timestamp): GatewayStep =
    contents.filterIsInstance<StoreChange.BlockSet>()
        .filter { tables.isLifted(it.trait, now) }
        .fold(this) { step, block ->
            step
                .log(LogPart.CRASHES, "requests with ${block.trait} run on: an older copy has a block that was lifted")
                .emit(GatewayEffect.DropBlock(block.trait))
        }

/** Whether the block of [trait] was lifted since an older copy was made, and not found again. */
internal fun GatewayTables.isLifted(trait: CrashTrait, now: Timestamp): Boolean =
    trait !in blocks && liftedBlocks[trait]?.let { now - it < LIFTED_MEMORY } ?: false
