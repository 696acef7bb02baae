package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.crash.SuspectRequests

/**
 * Breadth of the first part of a prompt, more than the parts that a head holds; of traits that explain crashes equally
 * well, the narrowest is the cause.
 */
private const val FIRST_PART_BREADTH = 16_384

/**
 * The traits of a request that others may have too; a later part of a prompt is narrower than earlier ones.
 *
 * An adapter is none of them: its requests go to the few upstreams where it is loaded, so they are lost together, and
 * none is answered until it is loaded elsewhere, whatever these upstreams crash of.
 */
private fun sharedTraitBreadths(row: RequestRow): Map<CrashTrait, Int> =
    row.call.sharedPromptParts.ids()
        .mapIndexed { index, id -> CrashTrait.PromptPart(id) to (FIRST_PART_BREADTH - index).coerceAtLeast(1) }
        .toMap()

/** The traits of [row] by which it may be like other requests of which upstreams crash. */
internal fun crashTraits(row: RequestRow): Sequence<CrashTrait> =
    row.call.sharedPromptParts.ids().map { CrashTrait.PromptPart(it) } +
        listOfNotNull(row.call.fingerprint?.let { CrashTrait.Repeat(it) })

/** [row] as a suspect of a crash; empty when it can't be told from other requests. */
internal fun suspicions(row: RequestRow): PersistentMap<CrashTrait, SuspectRequests> {
    val fingerprint = row.call.fingerprint ?: return persistentMapOf()
    return sharedTraitBreadths(row)
        .mapValues { (_, breadth) -> SuspectRequests(breadth, persistentSetOf(fingerprint)) }
        .toPersistentMap()
        .put(CrashTrait.Repeat(fingerprint), SuspectRequests.repeatsOf(fingerprint))
}

/** Whether several crashes may have been caused by requests like [row], so that it isn't sent again. */
internal fun GatewayTables.isSuspect(row: RequestRow): Boolean =
    crashes.hasEvidence && crashes.isSuspect(crashTraits(row))
