package org.ragwortbank.core.versions

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.serving.SoftwareVersion

/**
 * The software versions at which resumable streams of a service begin.
 *
 * @property base version of the streams that aren't recorded
 * @property admitted versions whose streams are recorded before their first event is passed on
 * @property completeEra the store's newest era that lacks no record of a stream that may go on; 0 if none is known
 */
data class ServiceVersions(
    val base: SoftwareVersion,
    val admitted: PersistentSet<SoftwareVersion> = persistentSetOf(),
    val completeEra: Long = 0,
) {
    /** Whether all streams begin at the base version. */
    val isSettled: Boolean get() = admitted.isEmpty()

    override fun toString(): String = "base $base, admitted $admitted, complete in era $completeEra"
}
