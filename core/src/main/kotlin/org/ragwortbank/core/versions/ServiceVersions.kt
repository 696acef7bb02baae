package org.ragwortbank.core.versions

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.serving.SoftwareVersion

/**
 * The software versions at which resumable streams of a service begin.
 *
 * @property base version of the streams that aren't recorded
 * @property admitted versions whose streams are recorded before their first event is passed on
 */
data class ServiceVersions(
    val base: SoftwareVersion,
    val admitted: PersistentSet<SoftwareVersion> = persistentSetOf(),
) {
    /** Whether all streams begin at the base version. */
    val isSettled: Boolean get() = admitted.isEmpty()
}
