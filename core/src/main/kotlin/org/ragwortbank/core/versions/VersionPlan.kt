package org.ragwortbank.core.versions

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.tick.Timestamp

/**
 * Decides which versions of a service the store should have instead of those of [row].
 *
 * The base version changes in two steps. At first it is admitted too, so that its streams are recorded as well; once
 * those without records are over, another version takes its place.
 *
 * @property listed number of listed upstreams of each version
 * @property completeEra the store's era if it lacks no record of a stream that may go on; null if that isn't known
 */
internal class VersionPlan(
    private val row: VersionRow,
    private val listed: Map<SoftwareVersion, Int>,
    private val completeEra: Long?,
    private val now: Timestamp,
) {
    /** The versions to write; null if those in the store may stay. */
    fun next(): ServiceVersions? {
        val current = row.stored ?: return first()?.let(::withCompleteEra)
        return withCompleteEra(withOtherBase(current) ?: withOtherAdmitted(current)).takeIf { it != current }
    }

    /** What the store had before, or the version of most upstreams. */
    private fun first(): ServiceVersions? = row.latest ?: mostListed(listed.keys)?.let { ServiceVersions(it) }

    private fun withCompleteEra(versions: ServiceVersions): ServiceVersions =
        versions.copy(completeEra = completeEra ?: versions.completeEra)

    private fun withOtherBase(current: ServiceVersions): ServiceVersions? {
        val leavesSince = row.admittedAt[current.base]?.takeIf { isUnlisted(current.base) }
        val isLeft = leavesSince?.let { now - it >= VersionTimes.BASE_LEAVE_TIME } ?: false
        val successor = mostListed(current.admitted - current.base).takeIf { isLeft } ?: return null
        return current.copy(base = successor, admitted = current.admitted.remove(successor))
    }

    private fun withOtherAdmitted(current: ServiceVersions): ServiceVersions {
        val kept = current.admitted.filter { it != current.base && !isGivenUp(it) }
        val joined = listed.keys.filter { it != current.base && it !in kept }.sortedBy { it.value }
        val others = (kept + joined).take(MAX_ADMITTED)
        val isBaseLeft = isUnlisted(current.base) && others.any { it in listed }
        val leaving = if (isBaseLeft) persistentSetOf(current.base) else persistentSetOf()
        return current.copy(admitted = leaving.addAll(others).toPersistentSet())
    }

    private fun isGivenUp(version: SoftwareVersion): Boolean =
        isUnlisted(version) && row.admittedAt[version]?.let { now - it >= VersionTimes.UNLISTED_LIFETIME } ?: true

    private fun isUnlisted(version: SoftwareVersion): Boolean =
        version !in listed && row.listedAt[version]?.let { now - it >= VersionTimes.UNLISTED_LIFETIME } ?: false

    private fun mostListed(versions: Set<SoftwareVersion>): SoftwareVersion? =
        versions.filter { it in listed }.sortedBy { it.value }.maxByOrNull { listed[it] ?: 0 }

    private companion object {
        const val MAX_ADMITTED = 8
    }
}
