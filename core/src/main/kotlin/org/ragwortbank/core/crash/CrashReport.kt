package org.ragwortbank.core.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.serving.RequestFingerprint
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamIncarnation
import kotlin.time.Duration

/** Where an upstream ran that crashed. */
data class CrashPlace(
    val service: ServiceName,
    val host: String,
)

/**
 * The requests with a trait that an upstream had when it crashed, and whose answers had not begun or hardly.
 *
 * @property breadth the smaller, the fewer requests have traits of this kind
 */
data class SuspectRequests(
    val breadth: Int,
    val fingerprints: PersistentSet<RequestFingerprint>,
) {
    /** Both sets of requests together. */
    operator fun plus(other: SuspectRequests) =
        SuspectRequests(minOf(breadth, other.breadth), fingerprints.addAll(other.fingerprints))

    companion object {
        private const val REPEAT_BREADTH = 0

        /** The repeats of one request, the narrowest of all traits. */
        fun repeatsOf(fingerprint: RequestFingerprint) = SuspectRequests(REPEAT_BREADTH, persistentSetOf(fingerprint))
    }
}

/**
 * What one gateway saw of a crash, as it reports it to the others.
 *
 * @property age time since the gateway lost the first request there
 */
data class CrashReport(
    val crash: UpstreamIncarnation,
    val place: CrashPlace,
    val age: Duration,
    val suspects: PersistentMap<CrashTrait, SuspectRequests>,
)
