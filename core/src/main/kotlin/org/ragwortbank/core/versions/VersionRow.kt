package org.ragwortbank.core.versions

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.tick.Timestamp

/**
 * The software versions of one service, as this gateway has read them in the store.
 *
 * @property latest the latest ones that it has read, whether or not the store still has them
 * @property revision revision at which the store has [latest]; 0 if it has none
 * @property admittedAt when this gateway read the admission of each admitted version
 * @property settledAt when it read that the service is settled; null while it isn't
 * @property listedAt when an upstream of each version was last listed
 * @property neededSince since when the store needs other versions than these; null while it doesn't
 * @property savedAt when this gateway last asked the store to keep others
 */
data class VersionRow(
    val latest: ServiceVersions? = null,
    val revision: Long = 0,
    val admittedAt: PersistentMap<SoftwareVersion, Timestamp> = persistentMapOf(),
    val settledAt: Timestamp? = null,
    val listedAt: PersistentMap<SoftwareVersion, Timestamp> = persistentMapOf(),
    val neededSince: Timestamp? = null,
    val savedAt: Timestamp? = null,
) {
    /** The versions that the store has; null if it has none or this gateway hasn't read them yet. */
    val stored: ServiceVersions? get() = latest.takeIf { revision > 0 }

    /**
     * This row after [versions] of [revision] were read at [now]. Versions that were admitted before keep their times
     * if this is the change that follows the one that was read before.
     */
    fun withStored(versions: ServiceVersions, revision: Long, now: Timestamp): VersionRow {
        if (revision == this.revision) return this
        val before = stored
        val keptSettledAt = settledAt.takeIf { before?.isSettled == true }
        return copy(
            latest = versions,
            revision = revision,
            admittedAt = versions.admitted.associateWith { admittedAt[it] ?: now }.toPersistentMap(),
            settledAt = if (versions.isSettled) keptSettledAt ?: now else null,
            neededSince = null,
            savedAt = null,
        )
    }

    /** This row after the store turned out to have no versions, or others than those that follow the known ones. */
    fun withoutStored(): VersionRow = copy(revision = 0, admittedAt = persistentMapOf(), settledAt = null)
}
